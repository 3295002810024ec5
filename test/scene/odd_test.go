package scene_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// putRow writes a row of a table of the store as another writer would.
func (s *site) putRow(table, key, value string) {
	body, err := json.Marshal(map[string]any{"puts": []map[string]any{{"table": table, "key": key, "value": []byte(value)}}})
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post("http://"+s.platform.address+"/rows-tx", "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	_ = resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

var _ = Describe("odd rows of another writer", func() {
	// Guards against a process that ends, or stops following a table, because of one row.
	It("end no host and keep none from following the endpoints and the other hosts", func() {
		s := newSite(2)
		deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
		endpoint := `{"service":"plume","zone":"here","version":"v1","state":"ready","slots":8,"coldRemainingMs":0,"sequence":1,"address":"127.0.0.1:9"`
		host := `{"id":"odd-%d","address":"127.0.0.1:9","peers":"127.0.0.1:9","state":"live","data-centre":"here"`
		for i, odd := range []string{
			`"address":"127.0.0.1:0"`, `"address":"127.0.0.1:70000"`, `"address":"127.0.0.1"`, `"address":"x\r\ny:1"`, `"address":7`, `"state":"asleep"`,
			`"slots":-1`, `"slots":1000000000000000000`, `"born":1e30`, `"born-ms":1e30`, `"weight":1e308,"slots":1e308`, `"zone":` + deep + `,"data-centre":` + deep,
		} {
			s.putRow("servers", fmt.Sprint("odd-", i), endpoint+","+odd+"}")
			s.putRow("dragonflyroute-hosts", fmt.Sprint("odd-", i), fmt.Sprintf(host, i)+","+odd+"}")
		}
		for _, table := range []string{"servers", "dragonflyroute-hosts"} {
			s.putRow(table, "bytes", "\xff\x00")
			s.putRow(table, "deep", deep)
			s.putRow(table, strings.Repeat("k", 200), strings.Repeat("9", 65_000))
		}
		s.putRow("dragonflyroute-hosts", "move/plume", deep)
		s.putRow("dragonflyroute-hosts", "prompt/bad", `{"strikes":9223372036854775807,"blocked-at":"2026-01-01T00:00:00Z"}`)
		s.putRow("dragonflyroute-hosts", "prompt/?", "?")

		time.Sleep(time.Second)
		s.control("/add?id=new&version=v1")
		for i := range 3 {
			s.control(fmt.Sprintf("/kill?id=i-%d", i))
		}
		Eventually(func() int { return s.record().Arrivals["new"] + 0*s.callStatus(0) + 0*s.callStatus(1) }, "10s").Should(BeNumerically(">", 0))
		time.Sleep(time.Second)
		for i := range 40 {
			Expect(s.callStatus(i % 2)).To(Equal(http.StatusOK))
		}
		s.startHost(2)
		Eventually(func() int { return len(s.resolve(0)) }, "10s").Should(Equal(3))
		for _, h := range s.hosts {
			Expect(s.readiness(h.ready)).To(Equal(http.StatusOK))
			Expect(h.process.cmd.ProcessState).To(BeNil())
		}
	})
})

// spoilRow writes rows that lack most fields under the id of an endpoint, between those that the endpoint writes, for a time.
func (s *site) spoilRow(id string, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.putRow("servers", id, `{"service":"plume","address":"`+s.platform.address+`","state":"ready"}`)
	}
}

var _ = Describe("rows with missing fields under an endpoint's id", func() {
	// Guards against requests that are cut off or repeated, or sent to the other writer's address, and against an endpoint that
	// stays out of use once its own row is back.
	It("leave its streams where they are, and the endpoint in use once its own row is back", func() {
		s := newSite(1)
		s.configure(2, longRoute+onlyRoute(2), `"k1"`)
		Eventually(func() bool { return s.has(0, 2) }).Should(BeTrue())
		answers := s.streams(0, 9, "&gap=60", func() {
			time.Sleep(300 * time.Millisecond)
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				s.spoilRow("i-0", 100*time.Millisecond)
				Expect(s.callStatus(0)).To(Equal(http.StatusOK))
			}
		})
		expectWhole(answers)
		seen := s.record()
		at := map[string]int{}
		for _, a := range answers {
			Expect(seen.Streams[a.id]).To(HaveLen(1))
			at[seen.Streams[a.id][0].Endpoint]++
		}
		Expect(at).To(HaveKey("i-0"))
		Eventually(func() int { return s.record().Arrivals["i-0"] + 0*s.callStatus(0) }, "3s").Should(BeNumerically(">", seen.Arrivals["i-0"]))
	})

	// Guards against requests to an endpoint that drains, sent since another writer's row called it ready.
	It("do not bring it back into use while it drains", func() {
		s := newSite(1)
		s.control("/drain?id=i-0")
		time.Sleep(time.Second)
		before := len(s.record().Drained["i-0"])
		var g sync.WaitGroup
		defer g.Wait()
		const spoiled = 2 * time.Second
		g.Go(func() {
			defer GinkgoRecover()
			s.spoilRow("i-0", spoiled)
		})
		for end := time.Now().Add(spoiled); time.Now().Before(end); {
			Expect(s.callStatus(0)).To(Equal(http.StatusOK))
		}
		Expect(s.record().Drained["i-0"]).To(HaveLen(before))
	})
})
