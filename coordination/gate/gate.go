// Package gate admits requests within the accounts' limits.
package gate

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

const (
	// busyWait is the time to come back when an account has too many requests running.
	busyWait = 500 * time.Millisecond
	// maxWait bounds the time to come back.
	maxWait = 30 * time.Second
	// usageTime is the time over which the use of a rate is averaged.
	usageTime = time.Second
)

type key struct {
	account acct.ID
	entry   label.Name
}

type line struct {
	bucket  bucket
	running int
	// recent is the requests of about the last usageTime, as of at.
	recent float64
	at     time.Time
}

// Gate holds one process's part of every account's limits.
//
// Share returns the part, 0 to 1, that the process may use of an account's limits on an entry; the parts of
// all processes add up to at most 1. All methods may be called concurrently.
type Gate struct {
	// Share returns the process's part of the limits at a time.
	Share func(account acct.ID, entry label.Name, now time.Time) float64
	// Started is when the process started; tokens accrue from then on.
	Started time.Time

	mu    sync.Mutex
	lines map[key]*line
}

// Enter admits one request of an account of the given scale, or returns a typed refusal with the time to come back.
//
// The caller calls leave once when the request has ended.
func (g *Gate) Enter(account acct.ID, scale float64, e *entry.Entry, now time.Time) (leave func(), err error) {
	g.change(account, scale, e, now, func(l *line, share float64) { leave, err = g.enter(l, account, e, share, now) })
	return leave, err
}

func (g *Gate) enter(l *line, account acct.ID, e *entry.Entry, share float64, now time.Time) (leave func(), err error) {
	if float64(l.running+1) > float64(e.Limits.Concurrent)*share {
		return nil, fault.New(kind.OverLimit, "account", "account %s has %d requests of %s running here", account, l.running, e.Name).After(busyWait)
	}
	wait, ever := l.bucket.wait()
	if !ever {
		wait = busyWait
	}
	if wait > 0 {
		return nil, fault.New(kind.OverLimit, "account", "account %s is over its rate on %s", account, e.Name).After(min(wait, maxWait))
	}
	l.bucket.tokens--
	l.running++
	l.recent = l.decayed(now) + 1
	l.at = now
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

// line returns the account's line on an entry; a new one has the tokens that accrued since the process started.
func (g *Gate) line(k key, e *entry.Entry, share float64) *line {
	if g.lines == nil {
		g.lines = map[key]*line{}
	}
	l := g.lines[k]
	if l == nil {
		l = &line{bucket: bucket{at: g.Started}}
		l.bucket.rate, l.bucket.burst = e.Limits.Rate*share, float64(e.Limits.Burst)*share
		g.lines[k] = l
	}
	return l
}

// adapt sets the bucket to the process's part of the limits.
func (l *line) adapt(e *entry.Entry, share float64, now time.Time) {
	l.bucket.set(e.Limits.Rate*share, float64(e.Limits.Burst)*share, now)
}

// Give takes the given part of the tokens saved up here and returns how many; a lender hands them over with a loan.
func (g *Gate) Give(account acct.ID, scale float64, e *entry.Entry, part float64, now time.Time) (given float64) {
	g.change(account, scale, e, now, func(l *line, _ float64) {
		given = max(0, l.bucket.tokens) * min(1, max(0, part))
		l.bucket.tokens -= given
	})
	return given
}

// Spare takes the tokens that will not fit when the part held here falls to share, and returns how many.
func (g *Gate) Spare(account acct.ID, scale float64, e *entry.Entry, share float64, now time.Time) (spare float64) {
	g.change(account, scale, e, now, func(l *line, _ float64) {
		spare = max(0, l.bucket.tokens-float64(e.Limits.Burst)*scale*share)
		l.bucket.tokens -= spare
	})
	return spare
}

// Take adds tokens that another host handed over, within the burst of the part held here.
func (g *Gate) Take(account acct.ID, scale float64, e *entry.Entry, tokens float64, now time.Time) {
	g.change(account, scale, e, now, func(l *line, _ float64) {
		l.bucket.tokens += max(0, tokens)
		l.bucket.refill(now)
	})
}

// change adapts the account's line to the part held here and lets do change it.
func (g *Gate) change(account acct.ID, scale float64, e *entry.Entry, now time.Time, do func(l *line, share float64)) {
	share := scale * g.Share(account, e.Name, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.line(key{account: account, entry: e.Name}, e, share)
	l.adapt(e, share, now)
	do(l, share)
}

func (l *line) decayed(now time.Time) float64 {
	age := max(0, now.Sub(l.at))
	return l.recent * float64(usageTime) / float64(usageTime+age)
}

// Used returns the part, 0 to 1, of an account's limits on an entry that is in use here.
func (g *Gate) Used(account acct.ID, scale float64, e *entry.Entry, now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.lines[key{account: account, entry: e.Name}]
	if l == nil {
		return 0
	}
	places := float64(l.running) / (float64(e.Limits.Concurrent) * scale)
	often := l.decayed(now) / usageTime.Seconds() / (e.Limits.Rate * scale)
	return max(places, often)
}
