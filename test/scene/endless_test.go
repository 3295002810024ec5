package scene_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// memoryLimit is the memory limit of the hosts' settings, in bytes.
const memoryLimit = 200 << 20

// peakMemory returns the most memory that a process has used, in bytes.
func peakMemory(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(text)[0], 10, 64)
			Expect(err).NotTo(HaveOccurred())
			return kilobytes << 10
		}
	}
	Fail("no peak of the memory")
	return 0
}

// relaunchUnread starts a host again with a standard error that nobody reads and that stays open.
func (h *siteHost) relaunchUnread() *exec.Cmd {
	h.signal(syscall.SIGTERM)
	Expect(h.wait()).To(Succeed())
	reader, writer, err := os.Pipe()
	Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(filepath.Join(binDir, "dragonflyroute"), "host", "--settings", h.settings)
	cmd.Stderr = writer
	Expect(cmd.Start()).To(Succeed())
	Expect(writer.Close()).To(Succeed())
	DeferCleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = reader.Close()
	})
	return cmd
}

var _ = Describe("endpoints that send bytes without end", func() {
	const callers = 60

	// Guards against a host that keeps such bytes, and ends for its memory with the requests of all its callers.
	DescribeTable("do not fill the memory of a host, which serves other requests",
		func(part, path string) {
			s := newSite(1)
			s.control("/trouble?id=i-0&endless=" + part)
			s.control("/trouble?id=i-1&endless=" + part)
			var g sync.WaitGroup
			for i := range callers {
				caller := newCaller(s.hosts[0].address)
				caller.client.Timeout = 5 * time.Second
				g.Go(func() {
					for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
						caller.send(path, time.Duration(1+i%3)*time.Second)
					}
				})
			}
			g.Wait()
			Expect(peakMemory(s.hosts[0].cmd.Process.Pid)).To(BeNumerically("<", memoryLimit))
			Expect(s.hosts[0].hasEnded()).To(BeFalse())
			Eventually(func() string { return s.request(0, "/open/x", "").body }).Should(HavePrefix("answer of "))
		},
		Entry("in a head", "head", "/open/x"),
		Entry("in a body", "body", "/open/x"),
		Entry("in an event", "event", "/stream/x"),
		Entry("in comments", "comments", "/stream/x"),
		Entry("behind an answer", "rest", "/open/x"),
	)

	// Guards against lines on such bytes that the HTTP library writes to standard error, one for each connection: where nobody
	// reads it, they block what uses the connections.
	It("behind answers do not hold up a host whose standard error nobody reads", func() {
		s := newSite(1)
		for i := range 3 {
			s.control(fmt.Sprintf("/trouble?id=i-%d&endless=rest", i))
		}
		cmd := s.hosts[0].relaunchUnread()
		Eventually(func() int { return s.readiness(s.hosts[0].ready) }).Should(Equal(http.StatusOK))
		caller := newCaller(s.hosts[0].address)
		caller.client.Timeout = 5 * time.Second
		for range 100 {
			a := caller.send("/open/x", 3*time.Second)
			Expect(a.err).NotTo(HaveOccurred())
			Expect(a.status).To(Equal(http.StatusOK))
			Expect(a.took).To(BeNumerically("<", time.Second))
		}
		Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(cmd.Wait()).To(Succeed())
	})

	// Guards against a log that grows by kilobytes for each connection.
	It("behind answers leave few and short lines in the log", func() {
		s := newSite(1)
		for i := range 3 {
			s.control(fmt.Sprintf("/trouble?id=i-%d&endless=rest", i))
		}
		before := len(s.hosts[0].output())
		for range 100 {
			Expect(s.request(0, "/open/x", "").status).To(Equal(http.StatusOK))
		}
		foreign := 0
		for line := range strings.Lines(s.hosts[0].output()[before:]) {
			if strings.Contains(line, "nsolicited") {
				foreign++
				Expect(len(line)).To(BeNumerically("<", 1000))
			}
		}
		Expect(foreign).To(BeNumerically("<", 10))
	})
})
