package calls

import (
	"context"

	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// remote is a call to a service that may be unreachable, fail before or after the call takes effect, or answer late.
type remote struct {
	history *History
	key     string
}

// Contact connects to the service; the error is kind.Unavailable.
func (r *remote) Contact(context.Context) error {
	r.history.sched.Jitter(callLatency)
	if r.history.disconnected || r.fails(0.15) {
		return fault.New(kind.Unavailable, "", "connection refused")
	}
	return nil
}

// Send sends the call. The second result reports whether any bytes were sent; if so, the error is kind.OutcomeUnknown.
func (r *remote) Send(context.Context) (claim.Claim, bool, error) {
	if r.fails(0.1) {
		return claim.Claim{}, false, fault.New(kind.Unavailable, "", "connection closed before the call was sent")
	}
	r.history.sched.Jitter(callLatency)
	if r.fails(0.1) {
		return claim.Claim{}, true, fault.New(kind.OutcomeUnknown, "", "connection closed before the call took effect")
	}
	r.history.executions[r.key]++
	r.history.sched.Jitter(callLatency)
	if r.fails(0.15) {
		return claim.Claim{}, true, fault.New(kind.OutcomeUnknown, "", "connection closed before the response")
	}
	return claim.Claim{Status: 201, Body: []byte(r.key)}, true, nil
}

// fails draws a fault with probability p.
func (r *remote) fails(p float64) bool { return !r.history.NoFaults && r.history.sched.Chance(p) }
