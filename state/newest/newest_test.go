package newest_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/state/newest"
)

func TestCatalogue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "newest")
}

var _ = Describe("Catalogue", func() {
	now := time.Unix(1000, 0)

	It("accepts only higher revisions and notifies waiters", func() {
		h := &newest.Catalogue{}
		changed := h.Changed()
		Expect(h.Offer(nil)).To(BeFalse())
		Expect(h.Offer(&catlog.Catalogue{Revision: 2})).To(BeTrue())
		Expect(changed).To(BeClosed())
		Expect(h.Offer(&catlog.Catalogue{Revision: 2})).To(BeFalse())
		Expect(h.Offer(&catlog.Catalogue{Revision: 1})).To(BeFalse())
		Expect(h.Revision()).To(Equal(int64(2)))
	})

	It("counts its age from the last confirmation of its own revision", func() {
		h := &newest.Catalogue{}
		h.Offer(&catlog.Catalogue{Revision: 2})
		h.Confirm(1, now)
		Expect(h.Age(now)).To(BeNumerically(">", time.Hour))
		h.Confirm(2, now.Add(-time.Second))
		h.Confirm(2, now.Add(-time.Minute))
		Expect(h.Age(now)).To(Equal(time.Second))
	})

	It("has an age that converts to milliseconds and back without overflow when it was never confirmed", func() {
		millis := (&newest.Catalogue{}).Age(now).Milliseconds() + 1
		Expect(time.Duration(millis) * time.Millisecond).To(BeNumerically(">", time.Hour))
	})
})
