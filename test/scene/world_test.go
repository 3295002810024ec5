package scene_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/transport/caller"
)

func TestScene(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scene")
}

const (
	operatorKey = "scene-operator-key-1"
	// patience bounds every wait; it is far above what any machine needs, and nothing is judged by it.
	patience = 60 * time.Second
	longText = "Summarise the history of contract c-17 for the family."
)

var programs string

var _ = BeforeSuite(func() {
	programs = GinkgoT().TempDir()
	args := []string{"build", "-o", programs + "/", "../..", "../../standin", "../../bench"}
	if os.Getenv("DRAGONFLYROUTE_RACE") != "" {
		args = slices.Insert(args, 1, "-race")
	}
	build := exec.Command("go", args...)
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	SetDefaultEventuallyTimeout(patience)
})

// process is one running program.
type process struct {
	cmd     *exec.Cmd
	address string
	log     string
	ended   bool
}

func (p *process) signal(s os.Signal) { Expect(p.cmd.Process.Signal(s)).To(Succeed()) }

func (p *process) wait() error {
	p.ended = true
	return p.cmd.Wait()
}

// world is a system of processes on loopback.
type world struct {
	dir      string
	platform *process
	engines  []*process
	apps     []*process
	entries  []*process
	// tokens is the length of a long answer.
	tokens int
	// leaseTerm is the term of the entry hosts' leases.
	leaseTerm string
	// writeTimeout is the time that a caller may take to read one event.
	writeTimeout string
}

// firstPort and ports are the range of ports that processes listen on. The system gives none of it to outgoing connections,
// which could take a port between the look at it and the process's start.
const (
	firstPort = 15_000
	ports     = 15_000
)

func freeAddress() string {
	for {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstPort+rand.IntN(ports)))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		return address
	}
}

func start(program, address string, args ...string) *process {
	p := &process{cmd: exec.Command(filepath.Join(programs, program), args...), address: address}
	log, err := os.CreateTemp(GinkgoT().TempDir(), program)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = log.Close() }()
	p.log = log.Name()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	Expect(p.cmd.Start()).To(Succeed())
	DeferCleanup(func() {
		Expect(p.logged()).NotTo(ContainSubstring("DATA RACE"))
		Expect(p.logged()).NotTo(ContainSubstring("superfluous"))
		if p.ended {
			return
		}
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Printf("--- %s %v\n%s\n", program, args, tail(p.logged()))
		}
	})
	return p
}

func (p *process) logged() string {
	data, err := os.ReadFile(p.log)
	Expect(err).NotTo(HaveOccurred())
	return string(data)
}

func tail(text string) string { return text[max(0, len(text)-4000):] }

func newWorld(engines, entries int, changes ...func(w *world)) *world {
	w := &world{dir: GinkgoT().TempDir(), tokens: 200, leaseTerm: "1s", writeTimeout: "10s"}
	for _, change := range changes {
		change(w)
	}
	address := freeAddress()
	w.platform = start("standin", address, "platform", "--listen", address)
	Eventually(func() error { return ping(address + "/stats") }).Should(Succeed())
	for i := range engines {
		w.engine(i, "v1")
	}
	w.app("v1")
	for i := range entries {
		w.entry(i)
	}
	w.put(catalogue, 0)
	for _, e := range w.entries {
		Eventually(func() bool { return w.status(e).MayServe }).Should(BeTrue())
		Eventually(func() int { return send(http.MethodGet, e.address+"/healthz", nil, "").status }).Should(Equal(http.StatusOK))
		Eventually(func() int { return len(w.status(e).Endpoints) }).Should(Equal(engines + 1))
		Eventually(func() int { return len(w.status(e).Peers) }).Should(Equal(entries - 1))
	}
	return w
}

func (w *world) engine(i int, version string) {
	address := freeAddress()
	w.engines = append(w.engines, start("standin", address, "engine", "--listen", address, "--platform", "http://"+w.platform.address, "--id", fmt.Sprintf("plume-%s-%d", version, i),
		"--backend", "plume", "--version", version, "--data-centre", fmt.Sprintf("dc-%d", i%10), "--token-ms", "5"))
}

func (w *world) app(version string) *process {
	address := freeAddress()
	p := start("standin", address, "app", "--listen", address, "--platform", "http://"+w.platform.address, "--id", "caisse-"+version,
		"--backend", "caisse", "--version", version, "--data-centre", "dc-0")
	Eventually(func() error { return ping(address + "/metrics") }).Should(Succeed())
	w.apps = append(w.apps, p)
	return p
}

func (w *world) entry(i int) {
	address := freeAddress()
	settings := map[string]any{
		"host": fmt.Sprintf("entry-%d", i), "data-centre": fmt.Sprintf("dc-%d", i),
		"listen":   map[string]string{"callers": address, "peers": freeAddress()},
		"platform": "http://" + w.platform.address, "entry-hosts": 3,
		"operator-key": operatorKey, "peer-secret": "scene-peer-secret-1", "log-level": "debug", "trace": map[string]string{},
		"bounds": map[string]any{"body-bytes": 20000, "connections": 300, "read-timeout": "1s", "write-timeout": w.writeTimeout},
		"intervals": map[string]string{
			"heartbeat": "100ms", "host-list": "100ms", "load": "100ms", "table-read": "300ms", "lease-term": w.leaseTerm, "move-step": "100ms",
			"config-age": "5s", "keep-answer": "500ms", "drain": "6s", "platform-timeout": "1s",
		},
	}
	data, err := json.Marshal(settings)
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(w.dir, fmt.Sprintf("entry-%d.json", i))
	Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	w.entries = append(w.entries, start("dragonflyroute", address, "serve", "--settings", file))
	Eventually(func() error { return ping(address + "/metrics") }).Should(Succeed())
}

func ping(target string) error {
	r, err := http.Get("http://" + target)
	if err != nil {
		return err
	}
	return r.Body.Close()
}

// caller returns a caller that asks the given entry hosts first, all of them without any.
func (w *world) caller(entries ...*process) *caller.Caller {
	if len(entries) == 0 {
		entries = w.entries
	}
	n := 0
	c := &caller.Caller{Account: "mutuelle", Client: &http.Client{}, MaxAttempts: 40, NewID: func() string {
		n++
		return fmt.Sprintf("request-%d-%d", time.Now().UnixNano(), n)
	}}
	for _, e := range entries {
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
	w, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = w.Body.Close() }()
	data, err := io.ReadAll(w.Body)
	Expect(err).NotTo(HaveOccurred())
	return answer{status: w.StatusCode, header: w.Header, body: string(data)}
}

var operator = map[string]string{"Authorization": "Bearer " + operatorKey, "Content-Type": "application/json"}

func (w *world) put(data string, base int64) {
	var got answer
	Eventually(func() int {
		got = send(http.MethodPut, w.entries[0].address+fmt.Sprintf("/operator/catalogue?base=%d", base), operator, data)
		return got.status
	}).Should(Equal(http.StatusOK), "%s", got.body)
}

type report struct {
	MayServe  bool                             `json:"may-serve"`
	Self      struct{ Revision int64 }         `json:"self"`
	Peers     []any                            `json:"peers"`
	Endpoints []any                            `json:"endpoints"`
	Moves     []struct{ State, Reason string } `json:"moves"`
}

func (w *world) status(e *process) report {
	var r report
	Expect(json.Unmarshal([]byte(send(http.MethodGet, e.address+"/operator/status", operator, "").body), &r)).To(Succeed())
	return r
}

func (w *world) fault(p *process, faults string) {
	Expect(send(http.MethodPost, p.address+"/faults", nil, faults).status).To(Equal(http.StatusOK))
}

// runs returns how often each idempotency key took effect on a service.
func runs(app *process) map[string]int {
	out := map[string]int{}
	Expect(json.Unmarshal([]byte(send(http.MethodGet, app.address+"/runs", nil, "").body), &out)).To(Succeed())
	return out
}

func (w *world) stream(c *caller.Caller, each func(n int)) (text string, connections int) {
	n := 0
	connections, err := c.Stream(context.Background(), "contrat-long", longText, w.tokens, func(token string) {
		text += token
		n++
		each(n)
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(n).To(Equal(w.tokens))
	return text, connections
}

// loadEntry sends requests for an entry in the background until the test ends.
func (w *world) loadEntry(entry string, rate int, more ...string) {
	var at []string
	for _, e := range w.entries {
		at = append(at, e.address)
	}
	args := []string{"load", "--at", strings.Join(at, ","), "--account", string(account), "--entry", entry, "--rate", fmt.Sprint(rate), "--for", patience.String(), "--json"}
	cmd := exec.Command(filepath.Join(programs, "bench"), append(args, more...)...)
	cmd.Stdout, cmd.Stderr = GinkgoWriter, GinkgoWriter
	Expect(cmd.Start()).To(Succeed())
	DeferCleanup(func() {
		_ = cmd.Process.Signal(os.Interrupt)
		_ = cmd.Wait()
	})
}

func freeze(p *process) { p.signal(syscall.SIGSTOP) }

func letGo(p *process) { p.signal(syscall.SIGCONT) }
