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

// clockTicks is the number of clock ticks a second in /proc/PID/stat (USER_HZ, 100 on Linux).
const clockTicks = 100

// cpuTime returns the user and system CPU time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, fault.Wrap(kind.BadRequest, err, "read CPU time")
	}
	_, after, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(after)
	const userField, systemField = 11, 12
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks, nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0, fault.Wrap(kind.BadRequest, err, "read resident memory")
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize()), nil
}

// metric reads the value of one metric without labels from the process at address.
func metric(address, name string) (float64, error) {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, fault.Wrap(kind.Unavailable, err, "read metrics of %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, fault.New(kind.NotFound, "metric", "%s exports no metric %s", address, name)
}
