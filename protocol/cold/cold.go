// Package cold holds what one process reports to others about an endpoint that is cold, or may be.
package cold

import "time"

// Report is what a process last learned of how cold an endpoint is.
type Report struct {
	// StartMillis is the start of the endpoint's process, in Unix milliseconds.
	StartMillis int64 `json:"born-ms"`
	// Suspected is set while the endpoint does not accept connections: it may have been restarted and be cold when it does
	// again.
	Suspected bool `json:"suspected,omitempty"`
	// Left is how much longer the endpoint is cold.
	Left time.Duration `json:"left,omitempty"`
	// Age is the time since the process learned this.
	Age time.Duration `json:"age"`
}

// Supersedes reports whether a report replaces another one of the same endpoint.
func (r Report) Supersedes(old Report) bool {
	if r.StartMillis != old.StartMillis {
		return r.StartMillis > old.StartMillis
	}
	return r.Age < old.Age
}

// AgedBy returns the report as it is some time later.
func (r Report) AgedBy(d time.Duration) Report {
	r.Age += d
	r.Left = max(0, r.Left-d)
	return r
}
