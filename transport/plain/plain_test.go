package plain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/transport/plain"
)

func TestPlain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "plain")
}

const (
	// uploadBytes is more than the buffers of a connection hold while its peer does not read.
	uploadBytes = 16 << 20
	// repeats is how often a race is played, for each pause.
	repeats = 20

	head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
)

// startService starts a service that runs script on each connection once it has read the head of a call, and closes it behind
// the script. It returns its address.
func startService(script func(c *net.TCPConn, body io.Reader)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	var g sync.WaitGroup
	g.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.Go(func() {
				defer func() { _ = c.Close() }()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					script(c.(*net.TCPConn), req.Body)
				}
			})
		}
	})
	return l.Addr().String()
}

// send sends one call with a body.
func send(address string, body []byte) (answer claim.Claim, sent bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	call := &plain.Call{Method: http.MethodPost, Path: "/x", ContentType: "text/plain", Key: "k", Body: body}
	Expect(call.Connect(ctx, address)).To(Succeed())
	return call.Send(ctx)
}

var _ = Describe("An answer without a length that begins while its call is being written", func() {
	upload := make([]byte, uploadBytes)
	bodies := map[string]string{"short": "part", "empty": "", "long": strings.Repeat("line\n", 40_000)}

	for name, part := range bodies {
		// Guards against a part that is recorded and replayed as the answer of a call that must run at most once.
		It("is broken if its connection is reset: "+name, func() {
			for _, pause := range []time.Duration{0, 50 * time.Microsecond, 500 * time.Microsecond, 5 * time.Millisecond} {
				address := startService(func(c *net.TCPConn, _ io.Reader) {
					_, _ = io.WriteString(c, head+"\r\n"+part)
					time.Sleep(pause)
					_ = c.SetLinger(0)
				})
				for range repeats {
					_, sent, err := send(address, upload)
					Expect(err).To(HaveOccurred(), "pause %v", pause)
					Expect(fault.KindOf(err)).To(Equal(kind.OutcomeUnknown))
					Expect(sent).To(BeTrue())
				}
			}
		})

		It("is complete if its connection is closed in order: "+name, func() {
			address := startService(func(c *net.TCPConn, body io.Reader) {
				_, _ = io.WriteString(c, head+"\r\n"+part)
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, body)
			})
			for range repeats {
				answer, _, err := send(address, upload)
				Expect(err).NotTo(HaveOccurred())
				Expect(answer.Status).To(Equal(http.StatusOK))
				Expect(string(answer.Body) == part).To(BeTrue())
			}
		})
	}
})

// Guards against an answer that is none being recorded and replayed as that of a call that must run at most once.
var _ = DescribeTable("An answer that is none leaves the outcome of its call unknown",
	func(answer string) {
		address := startService(func(c *net.TCPConn, body io.Reader) {
			_, _ = io.Copy(io.Discard, body)
			_, _ = io.WriteString(c, answer)
		})
		got, sent, err := send(address, []byte("body"))
		Expect(err).To(HaveOccurred(), "%d, %q", got.Status, got.Body)
		Expect(fault.KindOf(err)).To(Equal(kind.OutcomeUnknown))
		Expect(sent).To(BeTrue())
	},
	Entry("of status 000", "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("of status 099", "HTTP/1.1 099 X\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("of status +20", "HTTP/1.1 +20 X\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("of status 600", "HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\nbody"),
	Entry("with a blank behind the name of its length", "HTTP/1.1 200 X\r\nContent-Length : 4\r\n\r\nbody of another"),
	Entry("with a blank behind the name of its chunks", "HTTP/1.1 200 X\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
)
