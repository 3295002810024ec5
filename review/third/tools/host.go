package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"
)

// hostProcess is one entry host: the program of the deploy file with settings of its own.
type hostProcess struct {
	name, front, ready, directory string
	settings, log                 string
	cmd                           *exec.Cmd
	done                          chan struct{}
}

// portPool hands out ports on loopback that are free.
type portPool struct{ next int }

func (p *portPool) take(n int) int {
	for {
		first := p.next
		p.next += n
		free := true
		for i := range n {
			l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(first+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return first
		}
	}
}

func at(port int) string { return "127.0.0.1:" + strconv.Itoa(port) }

// newHost writes the settings of an entry host.
func newHost(name, zone, dir, storeAddress, cloudAddress string, ports *portPool, duties []string) (*hostProcess, error) {
	internal := ports.take(16)
	front := ports.take(4)
	h := &hostProcess{name: name, front: at(front), ready: at(front + 1), directory: at(front + 2)}
	settings := map[string]any{
		"node": name, "role": "entry", "machineClass": "edge", "serves": []string{"edge", "registry"},
		"ip": "127.0.0.1", "zone": zone, "region": "cz-morava", "zones": map[string]string{"morava-a": "cz-morava", "morava-b": "cz-morava", "morava-c": "cz-morava"},
		"listen":        map[string]string{"front": h.front, "ready": h.ready, "control": at(front + 3), "directory": h.directory},
		"internalPorts": []int{internal, internal + 15}, "seeds": []string{}, "bootstrap": true, "countsTowardLoss": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "registry", "heartbeatMs": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "rollout", "platform"},
		"tolerate":  map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.2,
			"budgetWindowS": 10, "budgetExtraRetries": 54, "quotaWindowS": 8, "quotaExcess": 0.1, "quotaSlack": 140000, "requireFencing": true,
			"leaseMs": 3000, "thawSlackMs": 300, "reportWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "exposureShare": 0.1,
			"exposureSlack": 50, "rollbackMs": 5000, "recoveryS": 12, "passMs": 120, "reuseWindowS": 8.3, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 8.0, "partWritesS": 150,
			"rowBytes": 65536, "across": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
		},
		"cloud": map[string]any{"address": cloudAddress, "ratePerS": 50.0, "duties": duties, "dutyPerS": 50.0},
	}
	data, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return nil, err
	}
	h.settings, h.log = filepath.Join(dir, name+".json"), filepath.Join(dir, name+".log")
	return h, os.WriteFile(h.settings, data, 0o600)
}

// start starts the host's process as the deploy file does, in the repository's root.
func (h *hostProcess) start(root string) error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.Command(filepath.Join(root, "target/dragonflyroute"), "host")
	h.cmd.Dir = root
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "DRAGONFLYROUTE_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	cmd, done := h.cmd, make(chan struct{})
	h.done = done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// kill ends the host's process and waits for it.
func (h *hostProcess) kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.done
}

// awaitReady waits until the host says that it is ready.
func (h *hostProcess) awaitReady(limit time.Duration) error {
	c := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := c.Get("http://" + h.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready within %v", h.name, limit)
}
