package main

import (
	"bufio"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// clockTicks is the unit of /proc's processor times, as on every Linux.
const clockTicks = 100

// cpuTime returns the processor time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, fault.Wrap(kind.BadRequest, err, "pid")
	}
	_, after, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(after)
	const userField, systemField = 11, 12
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks, nil
}

// residentBytes returns a process's memory.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0, fault.Wrap(kind.BadRequest, err, "pid")
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize()), nil
}

// metric returns one unlabelled value of a process's metrics.
func metric(address, name string) (float64, error) {
	w, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, fault.Wrap(kind.Unavailable, err, "metrics of %s", address)
	}
	defer func() { _ = w.Body.Close() }()
	lines := bufio.NewScanner(w.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, fault.New(kind.NotFound, "metric", "%s has no %s", address, name)
}
