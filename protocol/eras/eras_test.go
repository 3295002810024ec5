package eras_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
)

func TestEras(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "eras")
}

const maxVersion = 1<<40 - 1

var _ = Describe("Era", func() {
	It("orders versions by era first, and gives both parts back", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			era := rapid.Int64Range(0, 8_000).Draw(t, "era")
			a, b := rapid.Int64Range(0, maxVersion).Draw(t, "a"), rapid.Int64Range(0, maxVersion).Draw(t, "b")
			early, late := eras.Era(era).Qualify(a), eras.Era(era+1).Qualify(b)
			if early >= late || eras.Of(early) != eras.Era(era) || eras.Local(early) != a {
				t.Fatalf("era %d, version %d: %d, next era %d", era, a, early, late)
			}
			if int64(float64(late)) != late {
				t.Fatalf("%d is not exact as a floating-point number", late)
			}
		})
	})

	It("leaves versions of a store without eras as they are", func() {
		Expect(eras.Era(0).Qualify(7)).To(Equal(int64(7)))
	})

	DescribeTable("counts a version out of range as 0", func(version int64) {
		Expect(eras.Local(eras.Era(2).Qualify(version))).To(BeZero())
		Expect(eras.Of(eras.Era(2).Qualify(version))).To(Equal(eras.Era(2)))
	}, Entry("negative", int64(-1)), Entry("too high", int64(maxVersion+1)))
})
