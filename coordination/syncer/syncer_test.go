package syncer_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/syncer"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/endreg"
)

func TestSyncer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "syncer")
}

func decode(id string, data []byte) (roster.Row, error) {
	if string(data) == "?" {
		return roster.Row{}, fault.New(kind.BadRequest, "state", "is not readable")
	}
	state := roster.Live
	if string(data) == "leaving" {
		state = roster.Leaving
	}
	return roster.Row{ID: endpt.ID(id), Address: id, Backend: "plume", State: state, Reclaimable: true}, nil
}

// coldMillis decodes a row that holds only how long its endpoint is cold.
func coldMillis(id string, data []byte) (roster.Row, error) {
	ms, err := strconv.ParseInt(string(data), 10, 64)
	return roster.Row{ID: endpt.ID(id), Address: id, Backend: "plume", State: roster.Live, ColdMillis: ms}, err
}

var _ = Describe("Syncer of endpoints that are cold for a while", func() {
	registry, now := &endreg.Registry{Warmer: secondCold{}}, time.Unix(1000, 0)
	s := &syncer.Syncer{Registry: registry, Decode: coldMillis, Now: func() time.Time { return now }, Log: hclog.NewNullLogger()}

	It("records how long each is cold, also when it is cold again", func() {
		s.Replace([]record.Record{{Key: "a", Value: []byte("3000")}, {Key: "b", Value: []byte("0")}})
		Expect(registry.Get("a").Warmup.Cold(now.Add(2999 * time.Millisecond))).To(BeTrue())
		Expect(registry.Get("a").Warmup.Cold(now.Add(3 * time.Second))).To(BeFalse())
		Expect(registry.Get("b").Warmup.Cold(now)).To(BeFalse())
		now = now.Add(time.Minute)
		s.Apply([]record.Record{{Key: "b", Value: []byte("500")}})
		Expect(registry.Get("b").Warmup.Cold(now)).To(BeTrue())
	})

	// Guards against each write of a cold endpoint being passed on to all hosts.
	It("takes rows for the same that only differ in the time left of one start", func() {
		for _, c := range []struct {
			old, updated string
			same         bool
		}{{"3000", "1800", true}, {"0", "0", true}, {"1800", "0", false}, {"0", "3000", false}, {"1800", "3000", false}} {
			Expect(s.Equivalent("a", []byte(c.old), []byte(c.updated))).To(Equal(c.same), "%s, then %s", c.old, c.updated)
		}
	})
})

// secondCold limits the requests to endpoints that are cold.
type secondCold struct{}

func (secondCold) Time(label.Name) time.Duration { return time.Second }

func (secondCold) Interval(*roster.Row) (time.Duration, bool) { return time.Second, true }

var _ = Describe("Syncer", func() {
	var (
		s        *syncer.Syncer
		registry *endreg.Registry
		now      time.Time
		reclaims int
	)
	BeforeEach(func() {
		registry, now, reclaims = &endreg.Registry{}, time.Unix(1000, 0), 0
		s = &syncer.Syncer{
			Registry: registry, Decode: decode, OnReclaim: func() { reclaims++ },
			Now: func() time.Time { return now }, Log: hclog.NewNullLogger(),
		}
		s.Replace([]record.Record{{Key: "a"}, {Key: "b"}})
	})

	It("keeps endpoints whose rows expired during an outage until they had time to be listed again", func() {
		s.Recovered(4*time.Second, 0)
		s.Replace([]record.Record{{Key: "a"}})
		Expect(registry.Get("b")).NotTo(BeNil())
		now = now.Add(time.Second)
		s.Apply([]record.Record{{Key: "b"}})
		now = now.Add(time.Second)
		s.Expire()
		Expect(registry.Get("b")).NotTo(BeNil())
	})

	It("removes those that are not listed again within two seconds", func() {
		s.Recovered(4*time.Second, 0)
		s.Replace([]record.Record{{Key: "a"}})
		now = now.Add(2 * time.Second)
		s.Expire()
		Expect(registry.Get("b")).To(BeNil())
		Expect(registry.Get("a")).NotTo(BeNil())
	})

	It("removes an endpoint at once when its row is removed without an outage", func() {
		s.Apply([]record.Record{{Key: "b", Deleted: true}})
		Expect(registry.Get("b")).To(BeNil())
	})

	It("removes only the endpoint whose row can't be decoded", func() {
		s.Apply([]record.Record{{Key: "b", Value: []byte("?")}, {Key: "z", Value: []byte("?")}})
		Expect(registry.Get("b")).To(BeNil())
		Expect(registry.Get("z")).To(BeNil())
		Expect(registry.Get("a").Leaving()).To(BeFalse())
	})

	It("reports a reclaim once for each endpoint", func() {
		s.Apply([]record.Record{{Key: "a", Value: []byte("leaving")}, {Key: "a", Value: []byte("leaving")}})
		Expect(reclaims).To(Equal(1))
		Expect(registry.Get("a").Leaving()).To(BeTrue())
	})

	// Guards against a long row that can't be decoded being sent to all hosts each time its writer writes it again, on which
	// each of them read the whole table from the store.
	It("takes two rows that can't be decoded for equivalent, and otherwise rows that decode to the same", func() {
		Expect(s.Equivalent("a", []byte("?"), []byte("?"))).To(BeTrue())
		Expect(s.Equivalent("a", []byte("x"), []byte("y"))).To(BeTrue())
		Expect(s.Equivalent("a", []byte("x"), []byte("leaving"))).To(BeFalse())
		Expect(s.Equivalent("a", []byte("x"), []byte("?"))).To(BeFalse())
		Expect(s.Equivalent("a", []byte("?"), []byte("x"))).To(BeFalse())
	})
})
