package roster_test

import (
	"encoding/json"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

func TestRoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "roster")
}

var _ = Describe("The row of an entry host", func() {
	It("is decoded as it was written", func() {
		for _, r := range []roster.Row{
			{ID: "h", Address: "10.0.0.1:80", PeerAddress: "10.0.0.1:81", DataCentre: "z", State: roster.Live, StartMillis: 7, Weight: 0.4},
			{ID: "h", Address: "10.0.0.1:80", PeerAddress: "gate.example:65535", State: roster.Leaving},
		} {
			data, err := json.Marshal(r)
			Expect(err).NotTo(HaveOccurred())
			Expect(roster.Decode("h", data)).To(Equal(r))
		}
	})

	// Guards against callers being told an address that names no host, and against a weight that draws all callers.
	DescribeTable("names no host if a field can't be right",
		func(field string) {
			_, err := roster.Decode("h", []byte(`{"id":"h","address":"10.0.0.1:80","peers":"10.0.0.1:81","state":"live","weight":0.4,`+field+`}`))
			Expect(fault.KindOf(err)).To(Equal(kind.BadRequest))
		},
		Entry("another host's id", `"id":"g"`), Entry("no id", `"id":""`),
		Entry("no port", `"address":"10.0.0.1"`), Entry("no host", `"address":":80"`), Entry("no address", `"address":""`),
		Entry("port 0", `"address":"10.0.0.1:0"`), Entry("a port out of range", `"peers":"10.0.0.1:70000"`), Entry("a negative port", `"peers":"10.0.0.1:-1"`),
		Entry("no peer address", `"peers":""`), Entry("an unknown state", `"state":"asleep"`), Entry("another type", `"state":[]`),
		Entry("a negative weight", `"weight":-1`), Entry("a huge weight", `"weight":1e308`), Entry("a weight out of range", `"weight":1e400`),
		Entry("a start out of range", `"born-ms":1e30`), Entry("deep nesting", `"x":`+strings.Repeat("[", 32_000)+strings.Repeat("]", 32_000)),
	)
})
