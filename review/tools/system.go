package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	hostName = "ficu95.example"
	apiKey   = "3d3zji9n73hh2b9wu3fe"
	tenant   = "huka270"
)

// graceS is the grace period of a SIGTERM, as on the users' sheet.
const graceS = 8

// system is the platform's stand-in and the daemons, which are processes of their own.
type system struct {
	rec   *record
	dir   string
	root  string
	store *store
	// address is that of the store and of the duty calls.
	address string
	daemons []*daemon
	servers []*server
	// duties counts the duty calls.
	mu     sync.Mutex
	duties map[string]int
}

// daemon is one process of the system under test.
type daemon struct {
	name, front, ready, directory string
	settings                      string
	cmd                           *exec.Cmd
	done                          chan struct{}
}

func listen() (net.Listener, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	return l, l.Addr().String(), nil
}

// firstPort and lastPort bound the listen ports of the daemons; connections get theirs from a range above.
const (
	firstPort = 11_000
	lastPort  = 30_000
)

// freePorts returns the first of n consecutive ports that are free at present.
func freePorts(n int) (int, error) {
	for range 200 {
		first := firstPort + rand.IntN(lastPort-firstPort)
		free := true
		for i := 0; free && i < n; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
			free = err == nil
			if free {
				_ = l.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func newSystem(rec *record, root string) (*system, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir, root: root, store: newStore(), duties: map[string]int{}}
	l, address, err := listen()
	if err != nil {
		return nil, err
	}
	s.address = address
	mux := http.NewServeMux()
	s.store.handle(mux)
	duty := func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.duties[r.URL.Path]++
		s.mu.Unlock()
		w.WriteHeader(http.StatusOK)
	}
	mux.HandleFunc("POST /usage", duty)
	mux.HandleFunc("POST /scale", duty)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// start starts a daemon with the command of the deploy file and waits until it accepts connections.
func (s *system) start(name, zone string) (*daemon, error) {
	ports, err := freePorts(16 + 4)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports+i) }
	d := &daemon{name: name, front: at(0), ready: at(1), directory: at(2)}
	settings := map[string]any{
		"node": name, "role": "entry", "machineClass": "edge", "serves": []string{"edge", "registry"},
		"ip": "127.0.0.1", "zone": zone, "region": "bzh",
		"zones":         map[string]string{"bzh-rennes": "bzh", "bzh-brest": "bzh", "bzh-vannes": "bzh"},
		"listen":        map[string]string{"front": d.front, "ready": d.ready, "directory": d.directory},
		"internalPorts": []int{ports + 4, ports + 19}, "seeds": []string{}, "bootstrap": true,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "registry", "heartbeatMs": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "rollout", "platform"},
		"tolerate":  map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": graceS, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
			"budgetExtraRetries": 52, "quotaWindowS": 8, "quotaExcess": 0.1, "quotaSlack": 140000, "requireFencing": true, "leaseMs": 3000, "thawSlackMs": 300,
			"reportWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000, "recoveryS": 12,
			"passMs": 120, "reuseWindowS": 10, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": s.address, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 8.0, "partWritesS": 150, "rowBytes": 65536,
			"across": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
		"cloud": map[string]any{"address": s.address, "ratePerS": 50.0, "duties": []string{"usage_report"}, "dutyPerS": 50.0},
	}
	data, _ := json.MarshalIndent(settings, "", " ")
	d.settings = filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(d.settings, data, 0o600); err != nil {
		return nil, err
	}
	s.daemons = append(s.daemons, d)
	return d, s.launch(d)
}

// launch starts a daemon's process.
func (s *system) launch(d *daemon) error {
	out, err := os.OpenFile(filepath.Join(s.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command("target/dragonflyroute", "host")
	d.cmd.Dir = s.root
	d.cmd.Env = append(os.Environ(), "DRAGONFLYROUTE_BOOT="+d.settings)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	d.done = done
	go func(cmd *exec.Cmd) {
		_ = cmd.Wait()
		_ = out.Close()
		close(done)
	}(d.cmd)
	s.rec.log("daemon %s started, front %s", d.name, d.front)
	return nil
}

// waitReady waits until all daemons answer the readiness check with 200.
func (s *system) waitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, d := range s.daemons {
		for {
			if resp, err := http.Get("http://" + d.ready + "/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("daemon %s is not ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *system) signal(d *daemon, sig syscall.Signal) {
	s.rec.log("signal %v to daemon %s", sig, d.name)
	_ = d.cmd.Process.Signal(sig)
}

// close ends everything that the test started.
func (s *system) close() {
	for _, d := range s.daemons {
		if d.cmd == nil || d.cmd.Process == nil {
			continue
		}
		select {
		case <-d.done:
			continue
		default:
		}
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		<-d.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// configure writes a configuration as the operator.
func (s *system) configure(version int, routes []map[string]any, services []map[string]any, keys ...string) {
	if len(keys) == 0 {
		keys = []string{apiKey}
	}
	s.rec.log("the store acknowledges config %d", version)
	s.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": tenant, "apiKeys": keys, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 1869460, "burst": 1869460}},
	})
}

// sleepUntil waits until a time or the end of a context.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
