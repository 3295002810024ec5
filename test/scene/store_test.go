package scene_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// storeAnswer is a response of the stand-in's store.
type storeAnswer struct {
	status int
	era    string
	Ver    int64 `json:"ver"`
	Rows   []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"rows"`
}

// readStore sends a GET request to the store.
func (s *site) readStore(call string) (a storeAnswer) {
	resp, err := http.Get("http://" + s.platform.address + call)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	a.status, a.era = resp.StatusCode, resp.Header.Get("Store-Era")
	if a.status == http.StatusOK {
		Expect(json.NewDecoder(resp.Body).Decode(&a)).To(Succeed())
	}
	return a
}

// storeRows returns the values of a table's rows by key.
func (s *site) storeRows(table string) map[string]string {
	rows := map[string]string{}
	for _, row := range s.readStore("/rows-get?table=" + table).Rows {
		rows[row.Key] = string(row.Value)
	}
	return rows
}

// restoreStore makes the store come back from a copy of some age.
func (s *site) restoreStore(age time.Duration) {
	s.control(fmt.Sprintf("/fault?restore=%g", age.Seconds()))
}

var _ = Describe("the stand-in's store", func() {
	// copyAge is the age of the copies, and settling the time in which rows of endpoints are written again or removed.
	const copyAge, settling = time.Second, 1500 * time.Millisecond

	It("comes back from a copy with its rows and versions, in the next era", func() {
		s := newPlatform()
		s.putRow("t", "kept", "old")
		time.Sleep(settling)
		s.putRow("t", "kept", "new")
		s.putRow("t", "lost", "x")
		before := s.readStore("/rows-get?table=t")
		Expect(before.era).To(Equal("1"))
		s.restoreStore(copyAge)
		after := s.readStore("/rows-get?table=t")
		Expect(after.era).To(Equal("2"))
		Expect(after.Ver).To(BeNumerically("<", before.Ver))
		Expect(s.storeRows("t")).To(Equal(map[string]string{"kept": "old"}))
		gone := s.readStore(fmt.Sprintf("/rows-feed?table=t&waitMs=0&after=%d", before.Ver+100))
		Expect([]any{gone.status, gone.era}).To(Equal([]any{http.StatusGone, "2"}))
		s.control("/fault?down")
		down := s.readStore("/rows-get?table=t")
		Expect([]any{down.status, down.era}).To(Equal([]any{http.StatusServiceUnavailable, "2"}))
	})

	It("ends waiting feeds when it comes back", func() {
		s := newPlatform()
		since := s.readStore("/rows-get?table=t").Ver
		timer := time.AfterFunc(settling, func() { s.restoreStore(copyAge) })
		defer timer.Stop()
		ended := s.readStore(fmt.Sprintf("/rows-feed?table=t&waitMs=10000&after=%d", since))
		Expect([]any{ended.status, ended.era}).To(Equal([]any{http.StatusServiceUnavailable, "2"}))
	})

	It("gets again what the operator and the endpoints wrote, and drops endpoints that have left", func() {
		s := newPlatform()
		s.configure(1, "", `"k1"`)
		time.Sleep(settling)
		s.configure(2, "", `"k2"`)
		s.control("/kill?id=i-0")
		s.control("/add?id=new&version=v1")
		s.restoreStore(copyAge)
		Expect(s.storeRows("op")["config"]).To(ContainSubstring(`"version":1`))
		Expect(s.storeRows("servers")).To(HaveKey("i-0"))
		time.Sleep(settling)
		Expect(s.storeRows("op")["config"]).To(ContainSubstring(`"version":2`))
		Expect(s.storeRows("servers")).To(SatisfyAll(HaveLen(3), HaveKey("new"), Not(HaveKey("i-0"))))
	})
})
