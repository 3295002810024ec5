// Package outage finds the ends of outages of a service by the calls that are made to it.
package outage

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/state/hooks"
)

// Detector tells calls that wait for a service when it answers again after some call got no answer. What was sent before
// that may never be answered, although its connection is open. The zero value has seen no call. Methods may be called
// concurrently.
type Detector struct {
	mu sync.Mutex
	// lost is when the latest call without an answer was sent, zero for none since the last end of an outage, and answered
	// when the latest call with one was sent.
	lost, answered time.Time
	ends           hooks.Hooks
}

// Lost records that a call that was sent at a time got no answer.
func (d *Detector) Lost(sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if sent.After(d.lost) {
		d.lost = sent
	}
	d.findEnd()
}

// Answered records that a call that was sent at a time was answered.
func (d *Detector) Answered(sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if sent.After(d.answered) {
		d.answered = sent
	}
	d.findEnd()
}

// OnEnd has call called at the end of the next outage, unless remove is called before. call must not block.
func (d *Detector) OnEnd(call func()) (remove func()) { return d.ends.Add(call) }

// findEnd ends an outage if a call was answered that was sent after the latest one without an answer.
func (d *Detector) findEnd() {
	if d.lost.IsZero() || !d.answered.After(d.lost) {
		return
	}
	d.lost = time.Time{}
	d.ends.Run()
}
