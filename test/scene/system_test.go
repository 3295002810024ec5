package scene_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/transport/caller"
)

func TestScene(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scene")
}

const (
	operatorKey = "scene-operator-key-1"
	// waitLimit is the default timeout of Eventually and the duration of background load. It is far above what slow machines
	// need, and no assertion depends on its length.
	waitLimit  = 60 * time.Second
	longPrompt = "Summarise the history of contract c-17 for the family."
)

var binDir string

var _ = BeforeSuite(func() {
	binDir = GinkgoT().TempDir()
	args := []string{"build", "-o", binDir + "/", "../..", "../../standin", "../../bench"}
	if os.Getenv("DRAGONFLYROUTE_RACE") != "" {
		args = slices.Insert(args, 1, "-race")
	}
	build := exec.Command("go", args...)
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	SetDefaultEventuallyTimeout(waitLimit)
})

// process is one started program.
type process struct {
	cmd     *exec.Cmd
	address string
	logFile string
	exited  bool
	// waiter waits for the process, and ended is closed once it has ended.
	waiter errgroup.Group
	ended  chan struct{}
}

// signal sends a signal, which has no effect if the process has ended.
func (p *process) signal(s os.Signal) {
	Expect(p.cmd.Process.Signal(s)).To(Or(Succeed(), MatchError(os.ErrProcessDone)))
}

func (p *process) wait() error {
	p.exited = true
	return p.waiter.Wait()
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// system is a platform stand-in with engines, application services and entry hosts, as processes on loopback.
type system struct {
	dir        string
	platform   *process
	engines    []*process
	apps       []*process
	entryHosts []*process
	// maxTokens is the length of a long answer, in tokens.
	maxTokens int
	// leaseTerm is the lease-term setting of the entry hosts.
	leaseTerm string
	// writeTimeout is the write-timeout setting of the entry hosts: the time that a caller may take to read one event.
	writeTimeout string
}

// minPort is the first of the ports that processes listen on, in portBlocks blocks of blockPorts. They are below the
// ephemeral ports: an outgoing connection could otherwise take a port between the check and the start of the process.
const (
	minPort    = 15_000
	portBlocks = 15
	blockPorts = 1_000
)

// blockListener listens on the first port of the block that belongs to this process of the test. The ports of hosts that are
// down could otherwise be taken by a test that runs at the same time.
var blockListener = sync.OnceValue(func() net.Listener {
	for block := range portBlocks {
		if l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(minPort+block*blockPorts))); err == nil {
			return l
		}
	}
	panic("all blocks of ports are in use")
})

// portsUsed counts the ports that freeAddress has tried.
var portsUsed atomic.Int64

// freeAddress returns an address that is free, and that it has not returned for long.
func freeAddress() string {
	for {
		n := portsUsed.Add(1) % (blockPorts - 1)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port(blockListener().Addr().String())+1+int(n)))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

func start(program, address string, args ...string) *process {
	p := &process{cmd: exec.Command(filepath.Join(binDir, program), args...), address: address, ended: make(chan struct{})}
	log, err := os.CreateTemp(GinkgoT().TempDir(), program)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = log.Close() }()
	p.logFile = log.Name()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	Expect(p.cmd.Start()).To(Succeed())
	p.waiter.Go(func() error {
		defer close(p.ended)
		return p.cmd.Wait()
	})
	DeferCleanup(func() {
		Expect(p.output()).NotTo(ContainSubstring("DATA RACE"))
		Expect(p.output()).NotTo(ContainSubstring("superfluous"))
		if p.exited {
			return
		}
		_ = p.cmd.Process.Kill()
		_ = p.waiter.Wait()
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Printf("--- %s %v\n%s\n", program, args, tail(p.output()))
		}
	})
	return p
}

func (p *process) output() string {
	data, err := os.ReadFile(p.logFile)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

func tail(text string) string { return text[max(0, len(text)-4000):] }

func newSystem(engines, entryHosts int, options ...func(s *system)) *system {
	s := &system{dir: GinkgoT().TempDir(), maxTokens: 200, leaseTerm: "1s", writeTimeout: "10s"}
	for _, option := range options {
		option(s)
	}
	address := freeAddress()
	s.platform = start("standin", address, "platform", "--listen", address)
	Eventually(func() error { return ping(address + "/stats") }).Should(Succeed())
	for i := range engines {
		s.startEngine(i, "v1")
	}
	s.startApp("v1")
	for i := range entryHosts {
		s.startEntryHost(i)
	}
	s.putCatalogue(catalogue, 0)
	for _, e := range s.entryHosts {
		Eventually(func() bool { return s.status(e).MayServe }).Should(BeTrue())
		Eventually(func() int { return send(http.MethodGet, e.address+"/healthz", nil, "").status }).Should(Equal(http.StatusOK))
		Eventually(func() int { return len(s.status(e).Endpoints) }).Should(Equal(engines + 1))
		Eventually(func() int { return len(s.status(e).Peers) }).Should(Equal(entryHosts - 1))
	}
	return s
}

func (s *system) startEngine(i int, version string) {
	address := freeAddress()
	s.engines = append(s.engines, start("standin", address, "engine", "--listen", address, "--platform", "http://"+s.platform.address, "--id", fmt.Sprintf("plume-%s-%d", version, i),
		"--backend", "plume", "--version", version, "--data-centre", fmt.Sprintf("dc-%d", i%10), "--token-ms", "5"))
}

func (s *system) startApp(version string) *process {
	address := freeAddress()
	p := start("standin", address, "app", "--listen", address, "--platform", "http://"+s.platform.address, "--id", "caisse-"+version,
		"--backend", "caisse", "--version", version, "--data-centre", "dc-0")
	Eventually(func() error { return ping(address + "/metrics") }).Should(Succeed())
	s.apps = append(s.apps, p)
	return p
}

func (s *system) startEntryHost(i int) {
	address := freeAddress()
	settings := map[string]any{
		"host": fmt.Sprintf("entry-%d", i), "data-centre": fmt.Sprintf("dc-%d", i),
		"listen":   map[string]string{"callers": address, "peers": freeAddress()},
		"platform": "http://" + s.platform.address, "entry-hosts": 3,
		"operator-key": operatorKey, "peer-secret": "scene-peer-secret-1", "log-level": "debug", "trace": map[string]string{},
		"bounds": map[string]any{"body-bytes": 20000, "connections": 300, "read-timeout": "1s", "write-timeout": s.writeTimeout},
		"intervals": map[string]string{
			"heartbeat": "100ms", "host-list": "100ms", "load": "100ms", "table-read": "300ms", "lease-term": s.leaseTerm, "move-step": "100ms",
			"config-age": "5s", "keep-answer": "500ms", "drain": "6s", "platform-timeout": "1s",
		},
	}
	data, err := json.Marshal(settings)
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(s.dir, fmt.Sprintf("entry-%d.json", i))
	Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	s.entryHosts = append(s.entryHosts, start("dragonflyroute", address, "serve", "--settings", file))
	Eventually(func() error { return ping(address + "/metrics") }).Should(Succeed())
}

func ping(target string) error {
	r, err := http.Get("http://" + target)
	if err != nil {
		return err
	}
	return r.Body.Close()
}

// newCaller returns a caller with the given entry hosts as seeds, or with all of them if none are given.
func (s *system) newCaller(entryHosts ...*process) *caller.Caller {
	if len(entryHosts) == 0 {
		entryHosts = s.entryHosts
	}
	n := 0
	c := &caller.Caller{Account: "mutuelle", Client: &http.Client{}, MaxAttempts: 40, NewID: func() string {
		n++
		return fmt.Sprintf("request-%d-%d", time.Now().UnixNano(), n)
	}}
	for _, e := range entryHosts {
		c.Seeds = append(c.Seeds, e.address)
	}
	return c
}

type answer struct {
	status int
	header http.Header
	body   string
}

func (a answer) field(name string) any {
	var fields map[string]any
	Expect(json.Unmarshal([]byte(a.body), &fields)).To(Succeed(), a.body)
	return fields[name]
}

func send(method, target string, header map[string]string, body string) answer {
	r, err := http.NewRequest(method, "http://"+target, bytes.NewBufferString(body))
	Expect(err).NotTo(HaveOccurred())
	for name, value := range header {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data)}
}

var operatorHeader = map[string]string{"Authorization": "Bearer " + operatorKey, "Content-Type": "application/json"}

func (s *system) putCatalogue(data string, base int64) {
	var got answer
	Eventually(func() int {
		got = send(http.MethodPut, s.entryHosts[0].address+fmt.Sprintf("/operator/catalogue?base=%d", base), operatorHeader, data)
		return got.status
	}).Should(Equal(http.StatusOK), "%s", got.body)
}

type hostStatus struct {
	MayServe  bool                             `json:"may-serve"`
	Self      struct{ Revision int64 }         `json:"self"`
	Peers     []any                            `json:"peers"`
	Endpoints []any                            `json:"endpoints"`
	Moves     []struct{ State, Reason string } `json:"moves"`
}

func (s *system) status(e *process) hostStatus {
	var status hostStatus
	Expect(json.Unmarshal([]byte(send(http.MethodGet, e.address+"/operator/status", operatorHeader, "").body), &status)).To(Succeed())
	return status
}

func (s *system) setFaults(p *process, faults string) {
	Expect(send(http.MethodPost, p.address+"/faults", nil, faults).status).To(Equal(http.StatusOK))
}

// runCounts returns how often each idempotency key was executed by a service.
func runCounts(app *process) map[string]int {
	out := map[string]int{}
	Expect(json.Unmarshal([]byte(send(http.MethodGet, app.address+"/runs", nil, "").body), &out)).To(Succeed())
	return out
}

func (s *system) stream(c *caller.Caller, onToken func(n int)) (text string, connections int) {
	n := 0
	connections, err := c.Stream(context.Background(), "contrat-long", longPrompt, s.maxTokens, func(token string) {
		text += token
		n++
		onToken(n)
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(n).To(Equal(s.maxTokens))
	return text, connections
}

// startLoad runs bench load for an entry in the background until the test ends.
func (s *system) startLoad(entry string, rate int, extraArgs ...string) {
	var addresses []string
	for _, e := range s.entryHosts {
		addresses = append(addresses, e.address)
	}
	args := []string{"load", "--at", strings.Join(addresses, ","), "--account", string(account), "--entry", entry, "--rate", fmt.Sprint(rate), "--for", waitLimit.String(), "--json"}
	cmd := exec.Command(filepath.Join(binDir, "bench"), append(args, extraArgs...)...)
	cmd.Stdout, cmd.Stderr = GinkgoWriter, GinkgoWriter
	Expect(cmd.Start()).To(Succeed())
	DeferCleanup(func() {
		_ = cmd.Process.Signal(os.Interrupt)
		_ = cmd.Wait()
	})
}

func suspend(p *process) { p.signal(syscall.SIGSTOP) }

func resume(p *process) { p.signal(syscall.SIGCONT) }
