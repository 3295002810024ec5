package scene_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// reloadSignals is the number of SIGHUPs that each host gets in a series, and reloadPause the time between them.
	reloadSignals = 8
	reloadPause   = 60 * time.Millisecond
)

// reloadAll sends SIGHUP to all hosts in turn, several times.
func (s *site) reloadAll() {
	for range reloadSignals {
		for _, h := range s.hosts {
			h.signal(syscall.SIGHUP)
			time.Sleep(reloadPause / time.Duration(len(s.hosts)))
		}
	}
}

// callUntil sends calls on one kept connection until stop is closed, and returns the first error.
func (s *site) callUntil(stop <-chan struct{}, host int) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return nil
		default:
		}
		if err := s.slowCall(client, host); err != nil {
			return err
		}
	}
}

// slowCall sends a call that takes some time, and returns the error of the connection.
func (s *site) slowCall(client *http.Client, host int) error {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.hosts[host].address+"/call/slow", strings.NewReader("body"))
	if err != nil {
		return err
	}
	r.Host = "plans.example"
	// The client would otherwise resend a request on a connection that was closed.
	r.GetBody = nil
	r.Header.Set("Dragonflyroute-Request-Id", nextRequestID())
	r.Header.Set("Authorization", "Bearer k1")
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// firstConcurrentID is far from the ids of site.sendRequest, which does not count concurrently.
const firstConcurrentID = 1 << 40

var concurrentIDs atomic.Int64

// nextRequestID returns a request id that no other request of the test has; it may be called concurrently.
func nextRequestID() string { return fmt.Sprintf("%016x", firstConcurrentID+concurrentIDs.Add(1)) }

var _ = Describe("a host of the users' platform that gets SIGHUP", func() {
	// Guards against a signal whose default action ends the process with requests in flight.
	It("keeps its streams, its callers' connections and its process", func() {
		s := newSite(1)
		resp, _, err := s.sendRequest(0, "/stream/x", "k1")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		s.hosts[0].signal(syscall.SIGHUP)
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(body), "id: ")).To(Equal(12))
		Expect(s.callStatus(0)).To(Equal(http.StatusOK))
		Expect(strings.Count(s.hosts[0].output(), `"started"`)).To(Equal(1))
	})

	// Guards against settings that a signal announces and that no running process applies.
	It("applies a changed grace period without a restart, and keeps the previous settings if the new ones are invalid", func() {
		s := newSite(1)
		h := s.hosts[0]
		before, err := os.ReadFile(h.settings)
		Expect(err).NotTo(HaveOccurred())
		reload := func(text, logged string) {
			Expect(os.WriteFile(h.settings, []byte(text), 0o600)).To(Succeed())
			h.signal(syscall.SIGHUP)
			Eventually(h.output).Should(ContainSubstring(logged))
		}
		reload("{}", "settings rejected")
		Expect(s.callStatus(0)).To(Equal(http.StatusOK))
		reload(strings.Replace(string(before), `"graceS":4`, `"graceS":3`, 1), "settings reloaded")
		h.signal(syscall.SIGTERM)
		Expect(h.wait()).To(Succeed())
		Expect(h.output()).To(ContainSubstring(`"grace-ms":3000`))
	})

	// Guards against the same on several hosts, also those that are told to stop in the middle of a series.
	It("answers every request on kept connections through series on all hosts that overlap with a stop", func() {
		s := newSite(3)
		stop := make(chan struct{})
		var g sync.WaitGroup
		errs := make([]error, len(s.hosts))
		for i := range s.hosts[:2] {
			g.Go(func() { errs[i] = s.callUntil(stop, i) })
		}
		s.reloadAll()
		s.hosts[2].signal(syscall.SIGTERM)
		s.reloadAll()
		close(stop)
		g.Wait()
		Expect(errs).To(HaveEach(BeNil()))
		Expect(s.hosts[2].wait()).To(Succeed())
	})
})

var _ = Describe("an entry host of the product's own interface that gets SIGHUP", func() {
	// Guards against the same default action in the other command that serves callers.
	It("keeps its process", func() {
		s := newSystem(1, 1)
		s.entryHosts[0].signal(syscall.SIGHUP)
		Consistently(func() error { return ping(s.entryHosts[0].address + "/v1/entries") }, "500ms").Should(Succeed())
	})
})

var _ = Describe("a host of the users' platform whose log is no longer read", func() {
	// Guards against the signal that a write to a closed pipe raises on standard output, which ends a process by default.
	It("keeps serving", func() {
		s := newSite(1)
		h := s.hosts[0]
		h.signal(syscall.SIGTERM)
		Expect(h.wait()).To(Succeed())
		reader, writer, err := os.Pipe()
		Expect(err).NotTo(HaveOccurred())
		cmd := exec.Command(filepath.Join(binDir, "dragonflyroute"), "host", "--settings", h.settings)
		cmd.Stdout = writer
		Expect(cmd.Start()).To(Succeed())
		DeferCleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
		Expect(writer.Close()).To(Succeed())
		Expect(reader.Close()).To(Succeed())
		for range 5 {
			Eventually(func() int { return s.readiness(h.ready) }).Should(Equal(http.StatusOK))
			Expect(s.callStatus(0)).To(Equal(http.StatusOK))
		}
		Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(cmd.Wait()).To(Succeed(), "a planned stop")
	})
})
