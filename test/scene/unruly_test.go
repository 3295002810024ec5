package scene_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

const (
	// unrulyLimits holds the limits of a host that meets a crowd, which unrulyMemoryMB and unrulyDescriptors repeat.
	unrulyLimits      = `"memoryMb":100,"maxFds":600`
	unrulyMemoryMB    = 100
	unrulyDescriptors = 600
	// unrulyBodyBytes is the operator's limit of a request body.
	unrulyBodyBytes = 4 << 20
	// crowdAddress is the address that a crowd connects from, another one than that of ordinary callers.
	crowdAddress = "127.0.0.2"
	// crowdWrite bounds the time of one write of a member whose host does not read.
	crowdWrite = 2 * time.Second
	// crowdSettle is how long a member may be sending until it counts as having joined.
	crowdSettle = 4 * time.Second
	// crowdPause is the pause of a member whose connection was closed, before it connects again.
	crowdPause = 100 * time.Millisecond
	// crowdStay is how long a crowd stays once all of its members have connected.
	crowdStay = 3 * time.Second
)

// member sends what a member of a crowd sends on a connection for a path, until it fails.
type member func(ctx context.Context, c net.Conn, path string) error

// unrulyCrowd is a number of callers who behave alike.
type unrulyCrowd struct {
	way     string
	members int
	act     member
	// deaf is set for callers who read no answer.
	deaf bool
}

// head returns the head of a request without the empty line that ends it.
func head(method, path string, fields ...string) string {
	lines := []string{method + " " + path + " HTTP/1.1", "Host: plans.example", "Dragonflyroute-Request-Id: c0ffee", "Dragonflyroute-Deadline-Ms: 60000", "Authorization: Bearer k1"}
	return strings.Join(append(lines, fields...), "\r\n") + "\r\n"
}

// sendParts writes parts of a request one after the other.
func sendParts(ctx context.Context, c net.Conn, pause time.Duration, parts ...string) error {
	for _, part := range parts {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		_ = c.SetWriteDeadline(time.Now().Add(crowdWrite))
		if _, err := io.WriteString(c, part); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

// lengthField is the header field that declares the largest legal body.
var lengthField = fmt.Sprintf("Content-Length: %d", unrulyBodyBytes)

// pieces cuts the largest legal body, without its last byte, into pieces.
func pieces(piece int) []string {
	part := strings.Repeat("x", piece)
	return append(slices.Repeat([]string{part}, unrulyBodyBytes/piece-1), part[1:])
}

// unfinishedBody sends all of a body of legal size but its last byte, in pieces.
func unfinishedBody(piece int) member {
	return func(ctx context.Context, c net.Conn, path string) error {
		if err := sendParts(ctx, c, 0, head("POST", path, lengthField)+"\r\n"); err != nil {
			return err
		}
		return sendParts(ctx, c, 0, pieces(piece)...)
	}
}

// unfinishedChunks sends a body of legal size in chunks, without the last one.
func unfinishedChunks(ctx context.Context, c net.Conn, path string) error {
	if err := sendParts(ctx, c, 0, head("POST", path, "Transfer-Encoding: chunked")+"\r\n"); err != nil {
		return err
	}
	for _, piece := range pieces(16 << 10) {
		if err := sendParts(ctx, c, 0, fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)); err != nil {
			return err
		}
	}
	return nil
}

// declaredBody declares a body of legal size and sends nothing of it.
func declaredBody(ctx context.Context, c net.Conn, path string) error {
	return sendParts(ctx, c, 0, head("POST", path, lengthField)+"\r\n")
}

// hugeBody sends far more than the limit of a body, with a length or in chunks.
func hugeBody(field, piece string) member {
	return func(ctx context.Context, c net.Conn, path string) error {
		parts := []string{head("POST", path, field) + "\r\n"}
		return sendParts(ctx, c, 0, append(parts, slices.Repeat([]string{piece}, 8*unrulyBodyBytes/len(piece))...)...)
	}
}

// shortFields returns header fields of few bytes, as many as the operator's limit of a head allows.
func shortFields() []string {
	var fields []string
	for i := range 2300 {
		fields = append(fields, strconv.FormatInt(int64(36*36*36+i), 36)+":")
	}
	return fields
}

// unfinishedFields sends a head of very many short fields without its end.
func unfinishedFields(ctx context.Context, c net.Conn, path string) error {
	return sendParts(ctx, c, 0, head("GET", path, shortFields()...))
}

// promptParts sends a request with a prompt of very many short parts.
func promptParts(ctx context.Context, c net.Conn, path string) error {
	prefix := "Dragonflyroute-Prompt-Prefix: " + strings.Repeat("1:1,", 3800) + "1:1"
	return sendParts(ctx, c, 0, head("POST", path, prefix, lengthField)+"\r\n")
}

// sentAhead sends requests without reading an answer.
func sentAhead(ctx context.Context, c net.Conn, path string) error {
	return sendParts(ctx, c, 0, slices.Repeat([]string{strings.Repeat(head("GET", path)+"\r\n", 20)}, 100)...)
}

// slowHead sends a head one byte at a time.
func slowHead(ctx context.Context, c net.Conn, path string) error {
	return sendParts(ctx, c, 200*time.Millisecond, strings.Split(head("GET", path), "")...)
}

// halfHead sends half of a head.
func halfHead(ctx context.Context, c net.Conn, path string) error {
	return sendParts(ctx, c, 0, "GET "+path+" HTTP/1.1\r\nHost: pl")
}

// slowReader sends a request and reads its answer one byte at a time.
func slowReader(ctx context.Context, c net.Conn, path string) error {
	if err := sendParts(ctx, c, 0, head("GET", path)+"\r\n"); err != nil {
		return err
	}
	for one := make([]byte, 1); ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		if _, err := c.Read(one); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// unrulyCrowds holds a crowd for each way in which callers were seen to misbehave.
var unrulyCrowds = []unrulyCrowd{
	{way: "bodies in one piece that lack their end", members: 120, act: unfinishedBody(unrulyBodyBytes)},
	{way: "bodies in small pieces that lack their end", members: 120, act: unfinishedBody(1 << 10)},
	{way: "bodies in chunks that lack their end", members: 120, act: unfinishedChunks},
	{way: "bodies of which nothing arrives", members: 120, act: declaredBody},
	{way: "bodies far over the limit", members: 120, act: hugeBody(fmt.Sprintf("Content-Length: %d", 8*unrulyBodyBytes), strings.Repeat("x", 64<<10))},
	{way: "bodies far over the limit in chunks", members: 120, act: hugeBody("Transfer-Encoding: chunked", "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n")},
	{way: "heads of very many short fields", members: 250, act: unfinishedFields},
	{way: "prompts of very many short parts", members: 250, act: promptParts},
	{way: "requests sent ahead", members: 120, act: sentAhead, deaf: true},
	{way: "connections that send very slowly", members: 700, act: slowHead},
	{way: "connections that read very slowly", members: 700, act: slowReader},
	{way: "connections that stop half-way through a head", members: 700, act: halfHead},
}

// unrulyTarget is what a crowd addresses: a path of one of a host's listeners.
type unrulyTarget struct {
	place   string
	address func(h *siteHost) string
	path    string
}

// unrulyTargets holds each kind of path.
var unrulyTargets = []unrulyTarget{
	{"a routed path", func(h *siteHost) string { return h.address }, "/open/x"},
	{"a path without a route", func(h *siteHost) string { return h.address }, "/nothing/x"},
	{"the readiness path", func(h *siteHost) string { return h.ready }, "/ready"},
	{"the address look-up", func(h *siteHost) string { return h.directory }, "/resolve?name=plans.example&zone=here"},
}

// join connects a member again and again until ctx ends. It calls joined once the member has sent all or was cut off, or has been
// sending for a time.
func (c unrulyCrowd) join(ctx context.Context, address, path string, joined func()) {
	settled := sync.OnceFunc(joined)
	timer := time.AfterFunc(crowdSettle, settled)
	defer timer.Stop()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(crowdAddress)}, Timeout: crowdWrite}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", address); err == nil {
			c.behave(ctx, conn, path, settled)
		}
		settled()
		time.Sleep(crowdPause)
	}
}

// behave acts as a member on one connection until that or ctx ends.
func (c unrulyCrowd) behave(ctx context.Context, conn net.Conn, path string, settled func()) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	err := c.act(ctx, conn, path)
	settled()
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		c.stay(ctx, conn)
	}
}

// stay keeps a connection open until ctx ends, or until its peer closes it if the member reads answers.
func (c unrulyCrowd) stay(ctx context.Context, conn net.Conn) {
	if c.deaf {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// footprint is the largest use of memory and descriptors seen of a process.
type footprint struct {
	peakMB, descriptors int
}

// observe adds the present use of a process, unless it has ended.
func (f *footprint) observe(p *process) {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	if entries, err := os.ReadDir(filepath.Join(dir, "fd")); err == nil {
		f.descriptors = max(f.descriptors, len(entries))
	}
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return
	}
	_, rest, ok := strings.Cut(string(status), "VmHWM:")
	if !ok {
		return
	}
	var kb int
	_, err = fmt.Sscan(rest, &kb)
	Expect(err).NotTo(HaveOccurred())
	f.peakMB = max(f.peakMB, kb>>10)
}

// newUnrulySite starts one host with the limits of this file.
func newUnrulySite() *site {
	s := newPlatform()
	s.limits, s.maxBodyBytes = unrulyLimits, unrulyBodyBytes
	s.startHosts(1)
	return s
}

// served reports whether an ordinary caller who comes back a few times is served, and finds the host by a look-up and ready.
func (s *site) served() bool {
	const attempts = 20
	for range attempts {
		if s.request(0, "/open/x", "").status == http.StatusOK && s.readiness(s.hosts[0].ready) == http.StatusOK && len(s.resolve(0)) == 1 {
			return true
		}
		time.Sleep(crowdPause)
	}
	return false
}

// gather has crowds come to a host and returns once they are there, with the host's footprint since then and what ends them.
func (s *site) gather(targets []unrulyTarget, crowds ...unrulyCrowd) (f *footprint, disperse func()) {
	ctx, stop := context.WithCancel(context.Background())
	var g errgroup.Group
	joined, members := make(chan struct{}, 10_000), 0
	for _, c := range crowds {
		for i := range c.members {
			t := targets[i%len(targets)]
			g.Go(func() error {
				c.join(ctx, t.address(s.hosts[0]), t.path, func() { joined <- struct{}{} })
				return nil
			})
		}
		members += c.members
	}
	disperse = sync.OnceFunc(func() {
		stop()
		_ = g.Wait()
	})
	DeferCleanup(disperse)
	f = &footprint{}
	Eventually(func() int {
		f.observe(s.hosts[0].process)
		return len(joined)
	}).WithPolling(20 * time.Millisecond).Should(BeNumerically(">=", members))
	for end := time.Now().Add(crowdStay); time.Now().Before(end); time.Sleep(crowdPause) {
		f.observe(s.hosts[0].process)
	}
	return f, disperse
}

// suffer has crowds come to a host, and checks what must hold while they stay and afterwards.
func (s *site) suffer(targets []unrulyTarget, crowds ...unrulyCrowd) {
	f, disperse := s.gather(targets, crowds...)
	servedMeanwhile := s.served()
	f.observe(s.hosts[0].process)
	disperse()
	GinkgoWriter.Printf("peak %d MB, %d descriptors, served while the crowd stayed: %t\n", f.peakMB, f.descriptors, servedMeanwhile)
	Expect(s.hosts[0].hasEnded()).To(BeFalse(), "the process has ended")
	Eventually(s.served).Should(BeTrue(), "an ordinary request afterwards")
	Expect(f.peakMB).To(BeNumerically("<=", unrulyMemoryMB), "peak of the resident memory in MB")
	Expect(f.descriptors).To(BeNumerically("<=", unrulyDescriptors))
	Expect(servedMeanwhile).To(BeTrue(), "an ordinary request while the crowd stayed")
}

var _ = Describe("a host with small limits, in the face of", Serial, func() {
	// Guards against callers who make a process run out of memory or descriptors, or who keep it from serving others.
	for _, c := range unrulyCrowds {
		for _, target := range unrulyTargets {
			It(c.way+", at "+target.place+", lives on and serves ordinary callers", func() {
				newUnrulySite().suffer([]unrulyTarget{target}, c)
			})
		}
	}

	// everyWay returns crowds of all ways, each a sixth of its size.
	everyWay := func() (all []unrulyCrowd) {
		for _, c := range unrulyCrowds {
			all = append(all, unrulyCrowd{members: c.members / 6, act: c.act, deaf: c.deaf})
		}
		return all
	}

	It("a crowd of all ways, at all kinds of paths, lives on and serves ordinary callers", func() {
		newUnrulySite().suffer(unrulyTargets, everyWay()...)
	})

	It("a crowd of all ways, at all kinds of paths, ends by itself when it is told to stop", func() {
		s := newUnrulySite()
		f, _ := s.gather(unrulyTargets, everyWay()...)
		s.hosts[0].signal(syscall.SIGTERM)
		Eventually(func() bool {
			f.observe(s.hosts[0].process)
			return s.hosts[0].hasEnded()
		}).Should(BeTrue())
		Expect(s.hosts[0].wait()).To(Succeed())
		GinkgoWriter.Printf("peak %d MB, %d descriptors\n", f.peakMB, f.descriptors)
		Expect(f.peakMB).To(BeNumerically("<=", unrulyMemoryMB), "peak of the resident memory in MB")
		Expect(f.descriptors).To(BeNumerically("<=", unrulyDescriptors))
	})
})
