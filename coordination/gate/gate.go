// Package gate admits requests within the accounts' limits.
package gate

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// busyWait is the time to come back when an account has too many requests running.
const busyWait = 500 * time.Millisecond

type key struct {
	account acct.ID
	entry   label.Name
}

type line struct {
	limiter *rate.Limiter
	running int
}

// Gate holds one process's part of every account's limits.
//
// Share returns the part, 0 to 1, that the process may use of an account's limits on an entry; the parts of
// all processes add up to at most 1. All methods may be called concurrently.
type Gate struct {
	// Share returns the process's part of the limits at a time.
	Share func(account acct.ID, entry label.Name, now time.Time) float64

	mu    sync.Mutex
	lines map[key]*line
}

// Enter admits one request of an account of the given scale, or returns a typed refusal with the time to come back.
//
// The caller calls leave once when the request has ended.
func (g *Gate) Enter(account acct.ID, scale float64, e *entry.Entry, now time.Time) (leave func(), err error) {
	share := scale * g.Share(account, e.Name, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.line(key{account: account, entry: e.Name})
	l.adapt(e, share, now)
	if float64(l.running+1) > float64(e.Limits.Concurrent)*share {
		return nil, fault.New(kind.OverLimit, "account", "account %s has %d requests of %s running here", account, l.running, e.Name).After(busyWait)
	}
	wait := l.reserve(now)
	if wait > 0 {
		return nil, fault.New(kind.OverLimit, "account", "account %s is over its rate on %s", account, e.Name).After(wait)
	}
	l.running++
	return g.leaver(l), nil
}

func (g *Gate) leaver(l *line) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			l.running--
		})
	}
}

func (g *Gate) line(k key) *line {
	if g.lines == nil {
		g.lines = map[key]*line{}
	}
	l := g.lines[k]
	if l == nil {
		l = &line{limiter: rate.NewLimiter(0, 0)}
		g.lines[k] = l
	}
	return l
}

// adapt sets the limiter to the process's part of the limits.
func (l *line) adapt(e *entry.Entry, share float64, now time.Time) {
	limit := rate.Limit(e.Limits.Rate * share)
	burst := int(float64(e.Limits.Burst) * share)
	if l.limiter.Limit() != limit {
		l.limiter.SetLimitAt(now, limit)
	}
	if l.limiter.Burst() != burst {
		l.limiter.SetBurstAt(now, burst)
	}
}

// reserve takes one token or returns the time until there is one.
func (l *line) reserve(now time.Time) time.Duration {
	r := l.limiter.ReserveN(now, 1)
	if !r.OK() {
		return busyWait
	}
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}

// Running returns the requests that an account has running on an entry here.
func (g *Gate) Running(account acct.ID, name label.Name) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lines[key{account: account, entry: name}]
	if l == nil {
		return 0
	}
	return l.running
}
