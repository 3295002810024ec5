package writer_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/writer"
)

func TestWriter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "writer")
}

const (
	tick        = 250 * time.Millisecond
	windowLen   = 5 * time.Second
	deadline    = 10 * time.Second
	readerDelay = time.Second
	otherDelay  = 2 * time.Second
)

// fleet is a fleet of hosts that write the usage of windows; each other host polls the reader with its number modulo the readers.
type fleet struct {
	readers, hosts int
	// refuses tells at which times after the start the store refuses writes, and down whether the readers are down.
	refuses func(since time.Duration) bool
	down    bool

	start, now time.Time
	writers    []*writer.Writer
	// written is when each host's usage of the first window was written, by itself or by its reader.
	written map[int]time.Duration
	calls   int
	refused int
	// inTick is the number of calls in the present tick, and most the largest one of a tick.
	inTick, most int
}

func newFleet(readers, hosts int, seed uint64, refuses func(time.Duration) bool) *fleet {
	f := &fleet{readers: readers, hosts: hosts, refuses: refuses, start: time.Unix(1000, 0), written: map[int]time.Duration{}}
	f.now = f.start
	rnd := rand.New(rand.NewPCG(seed, 1))
	for i := range hosts {
		isReader := i < readers
		delay := otherDelay
		if isReader {
			delay = readerDelay
		}
		w := &writer.Writer{
			Final: func(now time.Time) (int64, time.Time) {
				n := int64(now.Sub(f.start) / windowLen)
				return n, f.start.Add(time.Duration(n) * windowLen)
			},
			Delay:    func() time.Duration { return delay },
			Deadline: deadline, Random: rnd.Float64,
			IsReader: func() bool { return isReader },
			Acked:    func() int64 { return f.acked(i) },
			Write:    func(context.Context, int64, bool) bool { return f.write(i) },
		}
		w.Start(f.start)
		f.writers = append(f.writers, w)
	}
	return f
}

// acked returns the window that the host's reader has acknowledged to it, in the first two windows.
func (f *fleet) acked(i int) int64 {
	if at, ok := f.written[i%f.readers]; ok && !f.down && f.now.Sub(f.start) > at+tick {
		f.written[i] = min(at, f.writtenBy(i))
		return 1
	}
	return 0
}

func (f *fleet) writtenBy(i int) time.Duration {
	if at, ok := f.written[i]; ok {
		return at
	}
	return time.Hour
}

// write is a host's call to the store.
func (f *fleet) write(i int) bool {
	if f.down && i < f.readers {
		return false
	}
	f.calls++
	f.inTick++
	f.most = max(f.most, f.inTick)
	since := f.now.Sub(f.start)
	if f.refuses(since) {
		f.refused++
		return false
	}
	f.written[i] = min(since, f.writtenBy(i))
	return true
}

// play plays the fleet for a time.
func (f *fleet) play(length time.Duration) {
	for ; f.now.Sub(f.start) < length; f.now = f.now.Add(tick) {
		f.inTick = 0
		for _, w := range f.writers {
			w.Step(context.Background(), f.now)
		}
	}
}

var _ = Describe("Writers of a fleet's usage", func() {
	const end = windowLen

	// Guards against a storm of the whole fleet on a store that refuses calls: it delays the reads of configurations, drains and
	// leases, and each call is priced.
	DescribeTable("seldom repeat what the store refuses", func(readers, hosts, limit int) {
		for seed := range uint64(5) {
			f := newFleet(readers, hosts, seed, func(since time.Duration) bool { return since < end+5*time.Second })
			f.play(end + 5*time.Second)
			Expect(f.refused).To(BeNumerically("<", limit), "seed %d", seed)
			f.play(end + deadline - 2*time.Second)
			Expect(f.written).To(HaveLen(hosts))
		}
	}, Entry("12 hosts", 2, 12, 12), Entry("85 hosts", 8, 85, 48), Entry("295 hosts", 14, 295, 165))

	// Guards against usage that is missing from the report as the hosts wait too long for readers that are down.
	DescribeTable("write in time without their readers, spread over time", func(hosts int) {
		for seed := range uint64(5) {
			f := newFleet(2, hosts, seed, func(time.Duration) bool { return false })
			f.down = true
			f.play(end + deadline*3/4)
			Expect(f.written).To(HaveLen(hosts - 2))
			Expect(f.calls).To(Equal(hosts - 2))
			Expect(f.most).To(BeNumerically("<", hosts/3+3), "calls in one tick")
		}
	}, Entry("12 hosts", 12), Entry("85 hosts", 85), Entry("295 hosts", 295))

	// Guards against more calls than one of each reader on a day on which the store takes them.
	It("leave the writing to the readers while the store takes it", func() {
		f := newFleet(8, 85, 1, func(time.Duration) bool { return false })
		f.play(2 * windowLen)
		Expect(f.calls).To(Equal(8))
	})
})
