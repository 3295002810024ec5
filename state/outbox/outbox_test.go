package outbox_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/state/outbox"
)

func TestOutbox(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outbox")
}

var _ = Describe("Outbox", func() {
	// Guards against usage that is gone when the store does not take it, or when the host that collected it ends.
	It("acknowledges a row once the store has taken it, and keeps it until then", func() {
		var o outbox.Outbox[string]
		Expect(o.Put("a", 7, "a7")).To(BeZero())
		taken := o.Take(10)
		Expect(o.Put("a", 7, "a7")).To(BeZero(), "being written")
		o.Return(taken)
		taken = o.Take(10)
		Expect(taken["a"].Row).To(Equal("a7"))
		o.Written(taken)
		Expect(o.Put("a", 7, "a7")).To(Equal(int64(7)))
		Expect(o.Take(10)).To(BeEmpty(), "written already")
	})

	It("keeps the newer row of a host when an older one comes back from a failed write", func() {
		var o outbox.Outbox[string]
		o.Put("a", 7, "a7")
		taken := o.Take(10)
		o.Put("a", 8, "a8")
		o.Return(taken)
		Expect(o.Take(10)["a"].Row).To(Equal("a8"))
	})

	It("takes at most as many rows as one call may write", func() {
		var o outbox.Outbox[string]
		for _, id := range []string{"a", "b", "c"} {
			o.Put(host.ID(id), 1, id)
		}
		Expect(o.Take(2)).To(HaveLen(2))
		Expect(o.Take(2)).To(HaveLen(1))
	})
})
