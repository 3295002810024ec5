package stdlog_test

import (
	"bytes"
	"log"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/transport/stdlog"
)

func TestWriter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stdlog")
}

var _ = Describe("Writer", func() {
	// Guards against a log that grows with whatever endpoints send.
	It("passes on the beginning of one line a second, and counts the others", func() {
		var out bytes.Buffer
		now := time.Unix(1000, 0)
		logger := log.New(&stdlog.Writer{Log: hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}), Now: func() time.Time { return now }}, "", 0)
		for range 50 {
			logger.Print("first " + strings.Repeat("x", 4096))
		}
		now = now.Add(time.Second)
		logger.Print("second")
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		Expect(lines).To(HaveLen(2))
		Expect(len(lines[0])).To(BeNumerically("<", 500))
		Expect(lines[0]).To(And(ContainSubstring("first xxx"), ContainSubstring(`"bytes":4102`), ContainSubstring(`"omitted":0`)))
		Expect(lines[1]).To(And(ContainSubstring("second"), ContainSubstring(`"omitted":49`)))
	})
})
