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
		n := &newest.Catalogue{}
		changed := n.Changed()
		Expect(n.Offer(nil)).To(BeFalse())
		Expect(n.Offer(&catlog.Catalogue{Revision: 2})).To(BeTrue())
		Expect(changed).To(BeClosed())
		Expect(n.Offer(&catlog.Catalogue{Revision: 2})).To(BeFalse())
		Expect(n.Offer(&catlog.Catalogue{Revision: 1})).To(BeFalse())
		Expect(n.Revision()).To(Equal(int64(2)))
	})

	It("counts its age from the last confirmation of its own revision", func() {
		n := &newest.Catalogue{}
		n.Offer(&catlog.Catalogue{Revision: 2})
		n.Confirm(1, now)
		Expect(n.Age(now)).To(BeNumerically(">", time.Hour))
		n.Confirm(2, now.Add(-time.Second))
		n.Confirm(2, now.Add(-time.Minute))
		Expect(n.Age(now)).To(Equal(time.Second))
	})

	It("has an age that converts to milliseconds and back without overflow when it was never confirmed", func() {
		millis := (&newest.Catalogue{}).Age(now).Milliseconds() + 1
		Expect(time.Duration(millis) * time.Millisecond).To(BeNumerically(">", time.Hour))
	})
})
