package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/config"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const validSettings = `{"host":"e-1","data-centre":"bzh-rennes","listen":{"callers":"127.0.0.1:1","peers":"127.0.0.1:2"},
"platform":"http://127.0.0.1:3","operator-key":"0123456789abcdef","peer-secret":"0123456789abcdef","trace":{}}`

var _ = Describe("Parse", func() {
	It("accepts the sample settings", func() {
		names, err := filepath.Glob("../../sample/*/entry-*.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(names).To(HaveLen(14))
		for _, name := range names {
			data, err := os.ReadFile(name)
			Expect(err).NotTo(HaveOccurred())
			_, faults := config.Parse(data)
			Expect(faults).To(BeEmpty())
		}
	})

	DescribeTable("reports the path of the invalid field",
		func(old, replacement, field string) {
			_, faults := config.Parse([]byte(strings.Replace(validSettings, old, replacement, 1)))
			Expect(faults).To(HaveLen(1))
			Expect(fault.From(faults[0]).Field).To(Equal(field))
		},
		Entry("host name instead of an IP address", "127.0.0.1:1", "localhost:1", "listen.callers"),
		Entry("no port", "127.0.0.1:2", "127.0.0.1", "listen.peers"),
		Entry("short key", `"operator-key":"0123456789abcdef"`, `"operator-key":"short"`, "operator-key"),
		Entry("platform without a URL scheme", "http://127.0.0.1:3", "127.0.0.1:3", "platform"),
		Entry("period of zero", `"trace":{}`, `"trace":{},"intervals":{"heartbeat":"0s"}`, "intervals.heartbeat"),
		Entry("sample out of range", `"trace":{}`, `"trace":{"sample":2}`, "trace.sample"),
		Entry("unknown log level", `"trace":{}`, `"trace":{},"log-level":"loud"`, "log-level"),
		Entry("duplicate key", `"trace":{}`, `"trace":{},"trace":{}`, "trace"),
	)
})
