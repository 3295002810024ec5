package main

import (
	"strconv"
	"strings"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

type controlCmd struct {
	output
	Hosts []string      `required:"" help:"Entry hosts, each as ADDRESS=PID."`
	For   time.Duration `default:"24s" help:"Duration of the measurement."`
	Label string        `help:"Name of the measurement."`
}

type controlFigures struct {
	Label        string  `json:"label"`
	Hosts        int     `json:"hosts"`
	CPUPercent   float64 `json:"percent-of-a-core-per-host"`
	PeerBytes    float64 `json:"peer-bytes-per-second-per-host"`
	Megabytes    float64 `json:"megabytes-per-host"`
	MaxPeerBytes float64 `json:"peer-bytes-per-second-worst"`
}

type sample struct {
	cpu   time.Duration
	bytes float64
}

// Run measures the CPU time, the bytes exchanged with peers and the memory of running entry hosts.
func (c *controlCmd) Run() error {
	before, err := c.readSamples()
	if err != nil {
		return err
	}
	time.Sleep(c.For)
	after, err := c.readSamples()
	if err != nil {
		return err
	}
	f := controlFigures{Label: c.Label, Hosts: len(c.Hosts)}
	n, seconds := float64(len(c.Hosts)), c.For.Seconds()
	for i := range after {
		f.CPUPercent += 100 * (after[i].cpu - before[i].cpu).Seconds() / seconds / n
		rate := (after[i].bytes - before[i].bytes) / seconds
		f.PeerBytes += rate / n
		f.MaxPeerBytes = max(f.MaxPeerBytes, rate)
	}
	for _, h := range c.Hosts {
		_, pid, _ := splitHost(h)
		resident, err := residentBytes(pid)
		if err != nil {
			return err
		}
		f.Megabytes += float64(resident) / (1 << 20) / n
	}
	return c.print(f)
}

func (c *controlCmd) readSamples() ([]sample, error) {
	var out []sample
	for _, h := range c.Hosts {
		address, pid, err := splitHost(h)
		if err != nil {
			return nil, err
		}
		cpu, err := cpuTime(pid)
		if err != nil {
			return nil, err
		}
		bytes, err := metric(address, "dragonflyroute_peer_bytes")
		if err != nil {
			return nil, err
		}
		out = append(out, sample{cpu: cpu, bytes: bytes})
	}
	return out, nil
}

func splitHost(h string) (address string, pid int, err error) {
	address, text, _ := strings.Cut(h, "=")
	pid, err = strconv.Atoi(text)
	return address, pid, fault.Wrap(kind.BadRequest, err, "%s is not ADDRESS=PID", h)
}
