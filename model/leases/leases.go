// Package leases simulates seeded histories of lease holders under pauses, kills and lost responses.
package leases

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/elect"
	"github.com/dragonflyroute/dragonflyroute/model/sched"
	"github.com/dragonflyroute/dragonflyroute/model/store"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
)

const (
	holders      = 3
	term         = 200 * time.Millisecond
	stepPeriod   = 40 * time.Millisecond
	storeLatency = 5 * time.Millisecond
	orderLatency = 10 * time.Millisecond
	historyTime  = 10 * time.Second
	maxPause     = 600 * time.Millisecond
	clockSkew    = time.Hour
	// maxRestorePause bounds the time from a restore of the table to the next copy, and maxCopyAge the age of a copy.
	maxRestorePause = 2 * time.Second
	maxCopyAge      = 5 * term
)

// History is one run: the holders of a lease send orders to an endpoint, while they are paused and killed
// and the table fails.
type History struct {
	// Seed determines the whole run.
	Seed uint64
	// Naive is a baseline in which a holder doesn't check again that its lease is valid when it sends an order.
	Naive bool
	// Restores makes the table come back from copies now and then.
	Restores bool
	// Fencing makes the endpoint refuse orders with an old fencing number.
	Fencing bool

	// Orders counts the orders that took effect.
	Orders int
	// Overlaps counts the orders that took effect after an order of a later holder, or after another holder's order
	// with the same fencing number.
	Overlaps int
	// Refused counts the orders that the endpoint refused for an old fencing number.
	Refused int
	// Holders counts the fencing numbers under which orders took effect.
	Holders int

	sched        *sched.Sched
	store        *store.Store
	highestFence int64
	lastSender   string
}

// Run simulates the history and sets its results.
func (l *History) Run() {
	l.sched = sched.New(l.Seed)
	l.store = &store.Store{Sched: l.sched, Latency: storeLatency, RequestLoss: 0.05, ResponseLoss: 0.15, LateWrites: 0.05}
	for i := range holders {
		l.startHolder(i, 1)
	}
	l.sched.Go("nemesis", l.injectFaults)
	if l.Restores {
		l.sched.Go("restores", l.restore)
	}
	l.sched.Run(historyTime)
}

// startHolder starts an incarnation of an entry host that competes for the lease. Its clock differs from the others' by
// a multiple of clockSkew.
func (l *History) startHolder(i int, incarnation int64) {
	group := fmt.Sprintf("entry-%d", i)
	n := 0
	e := &elect.Elector{
		Store:       l.store,
		Key:         "lease/test",
		Self:        host.ID(group),
		Incarnation: incarnation,
		Term:        term,
		Now:         func() time.Time { return l.sched.Now().Add(time.Duration(i) * clockSkew) },
		NewID: func() string {
			n++
			return fmt.Sprintf("%s/%d/%d", group, incarnation, n)
		},
	}
	l.sched.Go(group, func() { l.runHolder(e) })
}

// runHolder renews or acquires the lease, and sends an order whenever it holds it.
func (l *History) runHolder(e *elect.Elector) {
	for {
		_ = e.Step(context.Background())
		if fence, ok := e.Held(); ok {
			l.sendOrder(e, fence)
		}
		l.sched.Jitter(stepPeriod)
	}
}

// sendOrder sends an order, which reaches the endpoint with a latency below orderLatency.
//
// With fencing, the process may be paused between its last check of the lease and the order. Without it, a correct
// holder sends in the same step as the check, and the order is in transit for less than the lease's safety margin.
func (l *History) sendOrder(e *elect.Elector, fence int64) {
	l.sched.Jitter(orderLatency)
	if current, ok := e.Held(); !l.Naive && (!ok || current != fence) {
		return
	}
	if l.Fencing {
		l.sched.Jitter(orderLatency)
	}
	l.sched.Go("network", func() {
		l.sched.Jitter(orderLatency)
		l.applyOrder(fence, e.Key+string(e.Self)+strconv.FormatInt(e.Incarnation, 10))
	})
}

// applyOrder applies an order at the endpoint and counts overlaps.
func (l *History) applyOrder(fence int64, sender string) {
	if fence < l.highestFence && l.Fencing {
		l.Refused++
		return
	}
	l.Orders++
	if fence < l.highestFence || fence == l.highestFence && sender != l.lastSender {
		l.Overlaps++
	}
	if fence > l.highestFence {
		l.Holders++
		l.highestFence = fence
	}
	l.lastSender = sender
}

// injectFaults kills and pauses holders and stops the table.
func (l *History) injectFaults() {
	for incarnation := int64(2); ; incarnation++ {
		l.sched.Jitter(2 * term)
		i := l.sched.Rand.IntN(holders)
		group := fmt.Sprintf("entry-%d", i)
		switch l.sched.Rand.IntN(4) {
		case 0:
			l.sched.Kill(group)
			l.startHolder(i, incarnation)
		case 1:
			l.store.Down = true
			l.sched.Jitter(term)
			l.store.Down = false
		default:
			l.sched.Pause(group, time.Duration(l.sched.Rand.Int64N(int64(maxPause))))
		}
	}
}

// restore brings the table back from a copy of up to maxCopyAge now and then, and sometimes twice in a row.
func (l *History) restore() {
	for {
		l.sched.Jitter(maxRestorePause)
		c := l.store.Copy()
		l.sched.Jitter(maxCopyAge)
		l.store.Down = true
		l.sched.Jitter(term)
		l.store.Restore(c)
		l.store.Down = false
		if l.sched.Rand.IntN(3) == 0 {
			l.sched.Jitter(stepPeriod)
			l.store.Restore(c)
		}
	}
}
