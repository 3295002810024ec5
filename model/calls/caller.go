package calls

import (
	"context"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/once"
	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

type outcome struct {
	answer claim.Claim
	err    error
	done   bool
}

// tries bounds a caller's tries; with long outages they outlast these.
func (c *Calls) tries() int {
	if c.Outage > 0 {
		return longTries
	}
	return tries
}

// caller tries a key on random entry hosts, without waiting for the answer of an earlier try for ever.
func (c *Calls) caller(key string) {
	defer func() { c.ended++ }()
	for try := range c.tries() {
		p := c.hosts[c.sched.Rand.IntN(entryHosts)]
		if c.Leased {
			p = c.owner(key)
		}
		out := &outcome{}
		started := c.sched.Now()
		ledger := p.ledger
		c.sched.Go(string(p.id), func() {
			out.answer, out.err = c.serve(ledger, key)
			out.done = true
		})
		c.await(out)
		if !out.done {
			continue
		}
		if c.final(key, out) {
			if out.err == nil && try == 0 {
				c.Latency = append(c.Latency, c.sched.Now().Sub(started))
			}
			return
		}
		c.sched.Jitter(callerWait)
	}
}

func (c *Calls) await(out *outcome) {
	deadline := c.sched.Now().Add(time.Duration(c.sched.Rand.Int64N(int64(callerWait))))
	for !out.done && c.sched.Now().Before(deadline) {
		c.sched.Sleep(time.Millisecond)
	}
}

func (c *Calls) final(key string, out *outcome) bool {
	if out.err == nil {
		c.Answered++
		if string(out.answer.Body) != key {
			c.WrongAnswers++
		}
		return true
	}
	if fault.KindOf(out.err) == kind.NotRun {
		c.denied[key] = true
		return true
	}
	return false
}

func (c *Calls) serve(l *once.Ledger, key string) (claim.Claim, error) {
	call := &remote{calls: c, key: key}
	if !c.Naive {
		return l.Run(context.Background(), key, "digest-"+key, call)
	}
	var err error
	for range tries {
		var answer claim.Claim
		if answer, _, err = call.Send(context.Background()); err == nil {
			return answer, nil
		}
	}
	return claim.Claim{}, err
}
