package catlog_test

import (
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

func TestCatlog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "catlog")
}

const validCatalogue = `{"accounts":[{"id":"kerlann","scale":1}],"entries":[{"name":"q","owner":"kerlann","backend":"plume","class":"quick","version":"v1",
"limits":{"first-token":"1.2s","between-tokens":"42ms","answer":"4s","max-tokens":64,"rate-per-second":5,"burst":5,"concurrent":5},
"price-ceiling-micros-per-hour":1,"refund-micros":0}]}`

func firstFault(data string) *fault.Error {
	_, faults := catlog.Parse([]byte(data))
	Expect(faults).NotTo(BeEmpty())
	return fault.From(faults[0])
}

var _ = Describe("Parse", func() {
	It("accepts the sample catalogues", func() {
		for _, name := range []string{"kerlann", "aliance"} {
			data, err := os.ReadFile("../../sample/" + name + "/catalogue.json")
			Expect(err).NotTo(HaveOccurred())
			_, faults := catlog.Parse(data)
			Expect(faults).To(BeEmpty())
		}
	})

	DescribeTable("reports the path of the invalid field",
		func(old, replacement, field string) {
			Expect(strings.Count(validCatalogue, old)).To(BeNumerically(">", 0))
			f := firstFault(strings.Replace(validCatalogue, old, replacement, 1))
			Expect(f.Kind).To(Equal(kind.BadRequest))
			Expect(f.Field).To(Equal(field))
			Expect(f.Reason).NotTo(BeEmpty())
		},
		Entry("duplicate key", `"burst":5`, `"burst":5,"burst":6`, "entries[0].limits.burst"),
		Entry("unknown owner", `"owner":"kerlann"`, `"owner":"nobody"`, "entries[0].owner"),
		Entry("invalid name", `"name":"q"`, `"name":"Q"`, "entries[0].name"),
		Entry("scale out of range", `"scale":1`, `"scale":0`, "accounts[0].scale"),
		Entry("answer below first token", `"answer":"4s"`, `"answer":"1s"`, "entries[0].limits.answer"),
		Entry("rate of zero", `"rate-per-second":5`, `"rate-per-second":0`, "entries[0].limits.rate-per-second"),
		Entry("service without routes", `"class":"quick"`, `"class":"call"`, "entries[0].limits.max-tokens"),
		Entry("unknown value of engine-orders", `"class":"quick"`, `"class":"quick","engine-orders":"perhaps"`, "engine-orders"),
		Entry("engine orders for a service entry", `"class":"quick","version":"v1",`, `"class":"call","version":"v1","engine-orders":"fenced","routes":[{"name":"r","method":"GET","path":"/r","idempotent":true}],`, "entries[0].limits.max-tokens"),
		Entry("different engine-orders on one back end", `}]}`, `},{"name":"l","owner":"kerlann","backend":"plume","class":"quick","version":"v1","engine-orders":"fenced",
"limits":{"first-token":"1.2s","between-tokens":"42ms","answer":"4s","max-tokens":64,"rate-per-second":5,"burst":5,"concurrent":5},
"price-ceiling-micros-per-hour":1,"refund-micros":0}]}`, "entries[1].engine-orders"),
		Entry("wrong type", `"burst":5`, `"burst":"five"`, "entries.limits.burst"),
	)

	It("rejects unknown fields, missing units and trailing data", func() {
		Expect(firstFault(strings.Replace(validCatalogue, `"burst"`, `"bursts"`, 1)).Reason).To(ContainSubstring("bursts"))
		Expect(firstFault(strings.Replace(validCatalogue, `"42ms"`, `"42"`, 1)).Reason).To(ContainSubstring("duration with a unit"))
		Expect(firstFault(validCatalogue + "{}").Reason).To(ContainSubstring("after the JSON value"))
	})

	It("returns all faults", func() {
		_, faults := catlog.Parse([]byte(strings.NewReplacer(`"burst":5`, `"burst":0`, `"owner":"kerlann"`, `"owner":"x"`).Replace(validCatalogue)))
		Expect(faults).To(HaveLen(2))
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(validCatalogue))
	f.Add([]byte(`{"accounts":[[[]]],"entries":{}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, faults := catlog.Parse(data)
		if (c == nil) == (len(faults) == 0) {
			t.Fatal("want either a catalogue or faults, got neither or both")
		}
		if c != nil && len(c.Clone().Check()) > 0 {
			t.Fatal("Check returns faults of a catalogue that Parse accepted")
		}
	})
}
