package intake_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/state/intake"
	"github.com/dragonflyroute/dragonflyroute/state/upload"
)

func TestIntake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "intake")
}

const (
	total = 16 << 20
	// large is the size of a large body, and small that of a small one.
	large, small = 4 << 20, 16 << 10
	// share is the memory that one address may fill with unfinished bodies.
	share = total / 2
)

var _ = Describe("The memory of request bodies", func() {
	var (
		in       *intake.Intake
		now      time.Time
		memory   int64
		counters map[string]int64
		aborted  []*upload.Upload
	)

	BeforeEach(func() {
		now, memory, counters, aborted = time.Unix(0, 0), total, map[string]int64{}, nil
		in = &intake.Intake{Total: func() int64 { return memory }, Now: func() time.Time { return now }, Count: func(name string, n int64) { counters[name] += n }}
	})

	begin := func(address string) *upload.Upload {
		u := &upload.Upload{Address: address}
		u.Abort = func() { aborted = append(aborted, u) }
		in.Begin(u)
		return u
	}
	// receive reserves and receives n bytes of a new body.
	receive := func(address string, n int64) (*upload.Upload, bool) {
		u := begin(address)
		ok := in.Reserve(u, n)
		if ok {
			in.Received(u, int(n))
		}
		return u, ok
	}

	It("is not used by bodies of which nothing has arrived", func() {
		for range 1000 {
			begin("a")
		}
		_, ok := receive("b", large)
		Expect(ok).To(BeTrue())
		Expect(aborted).To(BeEmpty())
	})

	It("leaves room for others when one address sends many unfinished bodies", func() {
		used := 0
		for range 100 {
			if _, ok := receive("a", large); ok {
				used += large
			}
		}
		Expect(used).To(Equal(share))
		_, ok := receive("b", large)
		Expect(ok).To(BeTrue())
		Expect(aborted).To(BeEmpty(), "young bodies are not aborted")
	})

	It("leaves room for small bodies when many addresses send large ones", func() {
		for n := range 100 {
			receive(string(rune('a'+n)), large)
		}
		_, ok := receive("other", small)
		Expect(ok).To(BeTrue())
	})

	It("goes to a new body rather than to the slowest unfinished one", func() {
		var bodies []*upload.Upload
		for _, address := range []string{"a", "b", "c"} {
			u, ok := receive(address, large)
			Expect(ok).To(BeTrue())
			bodies = append(bodies, u)
			now = now.Add(time.Second)
		}
		now = now.Add(time.Second)
		_, ok := receive("d", large)
		Expect(ok).To(BeTrue())
		Expect(aborted).To(Equal(bodies[:1]))
		Expect(in.Reserve(bodies[0], 1)).To(BeFalse())
		Expect(in.Complete(bodies[0])).To(BeFalse())
		Expect(counters["bodies_aborted_total"]).To(Equal(int64(1)))
	})

	It("stays with complete bodies, and is free again after their end", func() {
		var bodies []*upload.Upload
		for range 3 {
			u, ok := receive("a", large)
			Expect(ok).To(BeTrue())
			Expect(in.Complete(u)).To(BeTrue())
			bodies = append(bodies, u)
		}
		now = now.Add(time.Hour)
		_, ok := receive("b", large)
		Expect(ok).To(BeFalse())
		Expect(in.AbortSlowest()).To(BeFalse(), "no unfinished body is old enough")
		now = now.Add(time.Hour)
		Expect(in.AbortSlowest()).To(BeTrue(), "the refused one, which is unfinished")
		Expect(aborted).NotTo(ContainElements(bodies))
		for _, u := range bodies {
			in.End(u)
		}
		_, ok = receive("b", large)
		Expect(ok).To(BeTrue())
	})

	It("serves one body of any size alone, also after the memory has been lowered", func() {
		memory = small
		u, ok := receive("a", large)
		Expect(ok).To(BeTrue())
		Expect(in.Reserve(u, large)).To(BeTrue())
		_, ok = receive("b", small)
		Expect(ok).To(BeFalse())
	})
})
