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

	"github.com/dragonflyroute/dragonflyroute/protocol/change"
	"github.com/dragonflyroute/dragonflyroute/state/cached"
)

func TestCached(t *testing.T) {
	NewWithT(t).Expect(flag.Set("rapid.seed", cmp.Or(os.Getenv("DRAGONFLYROUTE_SEED"), "1"))).To(Succeed())
	RegisterFailHandler(Fail)
	RunSpecs(t, "cached")
}

var start = time.Unix(1000, 0)

func stored(seq, prefix uint64) change.Change {
	return change.Change{Seq: seq, Prefix: prefix, Stored: true}
}

func removed(seq, prefix uint64) change.Change { return change.Change{Seq: seq, Prefix: prefix} }

var _ = Describe("Cached", func() {
	It("stays sure of a prefix while the events are heard whole, and learns of its removal", func() {
		c := &cached.Cached{}
		c.Hear(1, []change.Change{stored(1, 7)}, start)
		later := start.Add(time.Hour)
		c.Hear(2, []change.Change{{Seq: 2}}, later)
		Expect(c.Chance(7, later)).To(Equal(1.0))
		c.Hear(3, []change.Change{removed(3, 7)}, later)
		Expect(c.Chance(7, later)).To(BeZero())
	})

	It("is less sure with time when events are missing or stop", func() {
		gap := func(c *cached.Cached) { c.Hear(5, []change.Change{stored(5, 9)}, start.Add(time.Minute)) }
		tail := func(c *cached.Cached) { c.Hear(4, nil, start.Add(time.Minute)) }
		silence := func(*cached.Cached) {}
		for _, lose := range []func(*cached.Cached){gap, tail, silence} {
			c := &cached.Cached{}
			c.Hear(1, []change.Change{stored(1, 7)}, start)
			lose(c)
			Expect(c.Chance(7, start.Add(time.Minute))).To(BeNumerically("~", 0.5))
		}
	})

	It("forgets all when the engine says so or starts anew", func() {
		for _, last := range []uint64{3, 0} {
			c := &cached.Cached{}
			c.Hear(2, []change.Change{stored(1, 7), stored(2, 8)}, start)
			c.Hear(last, []change.Change{{Seq: 3, Cleared: true}}[:min(last, 1)], start)
			Expect(c.Chance(7, start)).To(BeZero())
		}
	})

	It("agrees with the engine's cache whenever it has heard all, however late", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			c, holds, missed, seq, now := &cached.Cached{}, map[uint64]bool{}, map[uint64]bool{}, uint64(0), start
			var late []change.Change
			hear := func(n int) {
				c.Hear(c.Last()+uint64(n), late[:n], now)
				for _, ch := range late[:n] {
					delete(missed, ch.Prefix)
				}
				late = late[n:]
			}
			t.Repeat(map[string]func(*rapid.T){
				"the engine stores or drops": func(t *rapid.T) {
					prefix := rapid.Uint64Range(1, 40).Draw(t, "prefix")
					seq++
					holds[prefix] = !holds[prefix]
					late = append(late, change.Change{Seq: seq, Prefix: prefix, Stored: holds[prefix]})
				},
				"the process sends": func(t *rapid.T) {
					prefix := rapid.Uint64Range(1, 40).Draw(t, "prefix")
					c.Remember(prefix, now)
					if !holds[prefix] {
						seq++
						holds[prefix] = true
						late = append(late, stored(seq, prefix))
					}
				},
				"some events come": func(t *rapid.T) {
					hear(rapid.IntRange(0, len(late)).Draw(t, "n"))
				},
				"events are lost": func(*rapid.T) {
					c.Hear(seq, nil, now)
					for _, ch := range late {
						missed[ch.Prefix] = true
					}
					late = nil
				},
				"all come, repeated": func(t *rapid.T) {
					again := late[:rapid.IntRange(0, len(late)).Draw(t, "again")]
					hear(len(late))
					c.Hear(seq, again, now)
					now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "seconds")) * time.Second)
				},
				"": func(t *rapid.T) {
					for prefix := uint64(1); prefix <= 40; prefix++ {
						chance := c.Chance(prefix, now)
						if chance < 0 || chance > 1 {
							t.Fatalf("chance %g", chance)
						}
					}
				},
			})
			hear(len(late))
			for prefix, held := range holds {
				if believed := c.Chance(prefix, now) > 0; !missed[prefix] && believed != held {
					t.Fatalf("prefix %d: held %t, believed %g", prefix, held, c.Chance(prefix, now))
				}
			}
		})
	})
})
