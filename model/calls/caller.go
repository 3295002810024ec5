package calls

import (
	"context"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/once"
	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// outcome is the result of an attempt; done reports that the entry host answered.
type outcome struct {
	answer claim.Claim
	err    error
	done   bool
}

// attempts returns a caller's maximum number of attempts. With long outages it is high enough to outlast them.
func (c *History) attempts() int {
	if c.MaxOutage > 0 {
		return maxAttemptsInOutage
	}
	return maxAttempts
}

// runCaller sends a key's call to random entry hosts, or to the key's owner with Leased, until an answer is final. It
// abandons an attempt that isn't answered in time, which may still run.
func (c *History) runCaller(key string) {
	defer func() { c.callersEnded++ }()
	for attempt := range c.attempts() {
		p := c.hosts[c.sched.Rand.IntN(entryHosts)]
		if c.Leased {
			p = c.owner(key)
		}
		out := &outcome{}
		started := c.sched.Now()
		ledger := p.ledger
		c.sched.Go(string(p.id), func() {
			out.answer, out.err = c.runCall(ledger, key)
			out.done = true
		})
		c.await(out)
		if !out.done {
			continue
		}
		if c.recordOutcome(key, out) {
			if out.err == nil && attempt == 0 {
				c.Latencies = append(c.Latencies, c.sched.Now().Sub(started))
			}
			return
		}
		c.sched.Jitter(callerWait)
	}
}

// await waits for an outcome up to a random deadline shorter than callerWait.
func (c *History) await(out *outcome) {
	deadline := c.sched.Now().Add(time.Duration(c.sched.Rand.Int64N(int64(callerWait))))
	for !out.done && c.sched.Now().Before(deadline) {
		c.sched.Sleep(time.Millisecond)
	}
}

// recordOutcome counts an outcome and reports whether it is final, so that the caller doesn't retry.
func (c *History) recordOutcome(key string, out *outcome) bool {
	if out.err == nil {
		c.Answered++
		if string(out.answer.Body) != key {
			c.WrongAnswers++
		}
		return true
	}
	if fault.KindOf(out.err) == kind.NotRun {
		c.notRun[key] = true
		return true
	}
	return false
}

// runCall runs the call under a claim, or with Naive retries it without one.
func (c *History) runCall(l *once.Ledger, key string) (claim.Claim, error) {
	call := &remote{history: c, key: key}
	if !c.Naive {
		return l.Run(context.Background(), key, "digest-"+key, call)
	}
	var err error
	for range maxAttempts {
		var answer claim.Claim
		if answer, _, err = call.Send(context.Background()); err == nil {
			return answer, nil
		}
	}
	return claim.Claim{}, err
}
