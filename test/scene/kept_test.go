package scene_test

import (
	"net/http"
	"strconv"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// announcedIdleMs returns the idle timeout of the connection that an answer announces, in milliseconds; 0 for none.
func announcedIdleMs(header http.Header) int {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(text)
		Expect(err).NotTo(HaveOccurred())
		return 1000 * seconds
	}
	return 0
}

var _ = Describe("answers on callers' kept connections", func() {
	// Guards against callers that do not know the operator's idle timeout and reuse a connection while it is being closed.
	It("announce an idle timeout that is at most the operator's, also after it changes", func() {
		s := newSite(1)
		for revision, path := range []string{"/call/x", "/stream/x", "/open/x", "/nothing/x"} {
			s.idleTimeoutMs = 3000 * (4 - revision)
			s.configure(2+revision, "", `"k1"`)
			announced := func() int { return announcedIdleMs(s.request(0, path, "k1").header) }
			Eventually(announced, "5s").Should(And(BeNumerically(">", 0), BeNumerically("<=", s.idleTimeoutMs)), path)
		}
	})
})
