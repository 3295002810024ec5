package main

import (
	"net/http"
	"strconv"
	"time"
)

// dutyCall is a call that only the holder of the duties' lease makes.
type dutyCall struct {
	// AtMillis is the time of the call, in Unix milliseconds.
	AtMillis int64 `json:"at"`
	// Subject is usage, or service and data centre of an order of endpoints.
	Subject string `json:"subject"`
	// Window is the window of a usage report.
	Window   int64  `json:"window,omitempty"`
	Holder   string `json:"holder"`
	Fence    int64  `json:"fence"`
	Accepted bool   `json:"accepted"`
}

func newDutyCall(r *http.Request, subject string) dutyCall {
	fence, _ := strconv.ParseInt(r.Header.Get("Dragonflyroute-Fencing-Token"), 10, 64)
	return dutyCall{AtMillis: time.Now().UnixMilli(), Subject: subject, Holder: r.Header.Get("Dragonflyroute-Duty-Holder"), Fence: fence}
}

// recordUsage stores a usage report, and refuses a malformed one or one with a stale fencing number with status 409.
func (p *sitePlatform) recordUsage(w http.ResponseWriter, r *http.Request) {
	var u usageReport
	err := read(r, &u)
	call := newDutyCall(r, "usage")
	call.Window = u.WindowNumber
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.recordDuty(w, call, err == nil && call.Fence >= p.fence) {
		return
	}
	p.fence = call.Fence
	p.reports[u.WindowNumber] = append(p.reports[u.WindowNumber], u.Counts)
}

// recordScale records an order of endpoints, and refuses a malformed one or one with a stale fencing number with status 409.
func (p *sitePlatform) recordScale(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Service string `json:"service"`
		Zone    string `json:"zone"`
	}
	err := read(r, &order)
	call := newDutyCall(r, order.Service+"/"+order.Zone)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.recordDuty(w, call, err == nil && call.Fence >= p.scaleFences[call.Subject]) {
		p.scaleFences[call.Subject] = call.Fence
	}
}

// recordDuty records a call, refuses it if it is not accepted, and returns accepted. The caller holds mu.
func (p *sitePlatform) recordDuty(w http.ResponseWriter, call dutyCall, accepted bool) bool {
	call.Accepted = accepted
	p.dutyCalls = append(p.dutyCalls, call)
	if !accepted {
		w.WriteHeader(http.StatusConflict)
	}
	return accepted
}
