package calls

import (
	"context"

	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// remote is a call to a service that may be unreachable, break before or after the effect, or answer late.
type remote struct {
	calls *Calls
	key   string
}

// Contact connects.
func (r *remote) Contact(context.Context) error {
	r.calls.sched.Jitter(callLatency)
	if r.calls.cut || r.fails(0.15) {
		return fault.New(kind.Unavailable, "", "no connection")
	}
	return nil
}

// Send sends the call.
func (r *remote) Send(context.Context) (claim.Claim, bool, error) {
	if r.fails(0.1) {
		return claim.Claim{}, false, fault.New(kind.Unavailable, "", "broke before a byte")
	}
	r.calls.sched.Jitter(callLatency)
	if r.fails(0.1) {
		return claim.Claim{}, true, fault.New(kind.OutcomeUnknown, "", "broke before the effect")
	}
	r.calls.runs[r.key]++
	r.calls.sched.Jitter(callLatency)
	if r.fails(0.15) {
		return claim.Claim{}, true, fault.New(kind.OutcomeUnknown, "", "broke after the effect")
	}
	return claim.Claim{Status: 201, Body: []byte(r.key)}, true, nil
}

func (r *remote) fails(p float64) bool { return !r.calls.Calm && r.calls.sched.Chance(p) }
