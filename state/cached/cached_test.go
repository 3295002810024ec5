package cached_test

import (
	"cmp"
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflyroute/dragonflyroute/protocol/kvevt"
	"github.com/dragonflyroute/dragonflyroute/state/cached"
)

func TestCached(t *testing.T) {
	NewWithT(t).Expect(flag.Set("rapid.seed", cmp.Or(os.Getenv("DRAGONFLYROUTE_SEED"), "1"))).To(Succeed())
	RegisterFailHandler(Fail)
	RunSpecs(t, "cached")
}

var start = time.Unix(1000, 0)

func stored(seq, prefix uint64) kvevt.Event {
	return kvevt.Event{Seq: seq, Prefix: prefix, Stored: true}
}

func removed(seq, prefix uint64) kvevt.Event { return kvevt.Event{Seq: seq, Prefix: prefix} }

var _ = Describe("Cached", func() {
	It("holds a prefix for certain while events arrive without a gap, until its removal", func() {
		c := &cached.Cached{}
		c.Apply(1, []kvevt.Event{stored(1, 7)}, start)
		later := start.Add(time.Hour)
		c.Apply(2, []kvevt.Event{{Seq: 2}}, later)
		Expect(c.Probability(7, later)).To(Equal(1.0))
		c.Apply(3, []kvevt.Event{removed(3, 7)}, later)
		Expect(c.Probability(7, later)).To(BeZero())
	})

	It("lets the probability decay when events are missing or stop", func() {
		missingEvent := func(c *cached.Cached) { c.Apply(5, []kvevt.Event{stored(5, 9)}, start.Add(time.Minute)) }
		missingTail := func(c *cached.Cached) { c.Apply(4, nil, start.Add(time.Minute)) }
		noEvents := func(*cached.Cached) {}
		for _, disturb := range []func(*cached.Cached){missingEvent, missingTail, noEvents} {
			c := &cached.Cached{}
			c.Apply(1, []kvevt.Event{stored(1, 7)}, start)
			disturb(c)
			Expect(c.Probability(7, start.Add(time.Minute))).To(BeNumerically("~", 0.5))
		}
	})

	It("drops all prefixes when the engine clears its cache or restarts", func() {
		for _, last := range []uint64{3, 0} {
			c := &cached.Cached{}
			c.Apply(2, []kvevt.Event{stored(1, 7), stored(2, 8)}, start)
			c.Apply(last, []kvevt.Event{{Seq: 3, Cleared: true}}[:min(last, 1)], start)
			Expect(c.Probability(7, start)).To(BeZero())
		}
	})

	It("agrees with the engine's cache once all events have arrived, however late", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			c, engineCache, lost, seq, now := &cached.Cached{}, map[uint64]bool{}, map[uint64]bool{}, uint64(0), start
			var pending []kvevt.Event
			deliver := func(n int) {
				c.Apply(c.LastSeq()+uint64(n), pending[:n], now)
				for _, ev := range pending[:n] {
					delete(lost, ev.Prefix)
				}
				pending = pending[n:]
			}
			t.Repeat(map[string]func(*rapid.T){
				"the engine stores or removes a prefix": func(t *rapid.T) {
					prefix := rapid.Uint64Range(1, 40).Draw(t, "prefix")
					seq++
					engineCache[prefix] = !engineCache[prefix]
					pending = append(pending, kvevt.Event{Seq: seq, Prefix: prefix, Stored: engineCache[prefix]})
				},
				"the process sends a prompt": func(t *rapid.T) {
					prefix := rapid.Uint64Range(1, 40).Draw(t, "prefix")
					c.RecordSent(prefix, now)
					if !engineCache[prefix] {
						seq++
						engineCache[prefix] = true
						pending = append(pending, stored(seq, prefix))
					}
				},
				"some events arrive": func(t *rapid.T) {
					deliver(rapid.IntRange(0, len(pending)).Draw(t, "n"))
				},
				"events are lost": func(*rapid.T) {
					c.Apply(seq, nil, now)
					for _, ev := range pending {
						lost[ev.Prefix] = true
					}
					pending = nil
				},
				"all events arrive, some repeated": func(t *rapid.T) {
					repeated := pending[:rapid.IntRange(0, len(pending)).Draw(t, "again")]
					deliver(len(pending))
					c.Apply(seq, repeated, now)
					now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second)
				},
				"": func(t *rapid.T) {
					for prefix := uint64(1); prefix <= 40; prefix++ {
						probability := c.Probability(prefix, now)
						if probability < 0 || probability > 1 {
							t.Fatalf("probability %g", probability)
						}
					}
				},
			})
			deliver(len(pending))
			for prefix, held := range engineCache {
				if expected := c.Probability(prefix, now) > 0; !lost[prefix] && expected != held {
					t.Fatalf("prefix %d: cached %t, probability %g", prefix, held, c.Probability(prefix, now))
				}
			}
		})
	})
})
