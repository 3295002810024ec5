package style_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/test/style"
)

func TestStyle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "style")
}

var _ = Describe("Check", func() {
	It("finds no violation in the whole tree", func() {
		violations, err := style.Check("../..")
		Expect(err).NotTo(HaveOccurred())
		Expect(violations).To(BeEmpty(), strings.Join(violations, "\n"))
	})

	It("reports each violation planted in testdata", func() {
		violations, err := style.Check("testdata/bad")
		Expect(err).NotTo(HaveOccurred())
		Expect(violations).To(Equal([]string{
			"coordination/toolongname/name.go: package-name: toolongname",
			"platform/: adapter-size: 8 of 39 lines",
			"protocol/twotwo: exported-types: One, Two",
			"state/badly/bad.go: adapter-import: platform/alien",
			"state/badly/bad.go: bare-error: errors.New on line 17",
			"state/badly/bad.go: bare-error: fmt.Errorf on line 18",
			"state/badly/bad.go: bare-go: line 16",
			"state/badly/bad.go: import-direction: platform/alien",
			"state/badly/bad.go: import-direction: transport/front",
			"state/badly/bad.go: kebab-case: not_kebab",
			"state/badly/bad.go: wire-name: Dragonflyroute-T on line 23",
			"state/badly/bad_test.go: external-test: package badly",
		}))
	})
})
