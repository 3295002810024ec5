// Package leases plays seeded histories of lease holders under pauses and lost answers.
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
	stepWait     = 40 * time.Millisecond
	storeLatency = 5 * time.Millisecond
	orderTime    = 10 * time.Millisecond
	historyTime  = 10 * time.Second
	maxPause     = 600 * time.Millisecond
	clockSkew    = time.Hour
)

// Leases is one history: holders order an endpoint about while they are paused, killed and cut off.
type Leases struct {
	// Seed decides everything.
	Seed uint64
	// Naive acts on the last answer without looking at the time again, and without fencing.
	Naive bool
	// Fencing tells that the endpoint refuses old fencing numbers.
	Fencing bool

	// Orders counts the orders carried out.
	Orders int
	// Overlaps counts orders carried out after an order of a later holder, or beside another one of the same number.
	Overlaps int
	// Refused counts orders that the endpoint refused for an old fencing number.
	Refused int
	// Holders counts the holders that the lease had.
	Holders int

	sched   *sched.Sched
	store   *store.Store
	highest int64
	last    string
}

// Run plays the history.
func (l *Leases) Run() {
	l.sched = sched.New(l.Seed)
	l.store = &store.Store{Sched: l.sched, Latency: storeLatency, LoseBefore: 0.05, LoseAfter: 0.15, Delay: 0.05}
	for i := range holders {
		l.start(i, 1)
	}
	l.sched.Go("nemesis", l.nemesis)
	l.sched.Run(historyTime)
}

func (l *Leases) start(i int, incarnation int64) {
	group := fmt.Sprintf("entry-%d", i)
	n := 0
	k := &elect.Elector{
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
	l.sched.Go(group, func() { l.hold(k) })
}

func (l *Leases) hold(k *elect.Elector) {
	for {
		_ = k.Step(context.Background())
		if fence, ok := k.Held(); ok {
			l.order(k, fence)
		}
		l.sched.Jitter(stepWait)
	}
}

// order sends an order that takes a moment on the network.
//
// To an endpoint that fences, a process may be paused between its last look at the lease and the order. To one that
// does not, a sound holder sends in the same step, and the order is on its way for less than the lease's slack.
func (l *Leases) order(k *elect.Elector, fence int64) {
	l.sched.Jitter(orderTime)
	if again, ok := k.Held(); !l.Naive && (!ok || again != fence) {
		return
	}
	if l.Fencing {
		l.sched.Jitter(orderTime)
	}
	l.sched.Go("network", func() {
		l.sched.Jitter(orderTime)
		l.effect(fence, k.Key+string(k.Self)+strconv.FormatInt(k.Incarnation, 10))
	})
}

func (l *Leases) effect(fence int64, who string) {
	if fence < l.highest && l.Fencing {
		l.Refused++
		return
	}
	l.Orders++
	if fence < l.highest || fence == l.highest && who != l.last {
		l.Overlaps++
	}
	if fence > l.highest {
		l.Holders++
		l.highest = fence
	}
	l.last = who
}

func (l *Leases) nemesis() {
	for incarnation := int64(2); ; incarnation++ {
		l.sched.Jitter(2 * term)
		i := l.sched.Rand.IntN(holders)
		group := fmt.Sprintf("entry-%d", i)
		switch l.sched.Rand.IntN(4) {
		case 0:
			l.sched.Kill(group)
			l.start(i, incarnation)
		case 1:
			l.store.Down = true
			l.sched.Jitter(term)
			l.store.Down = false
		default:
			l.sched.Pause(group, time.Duration(l.sched.Rand.Int64N(int64(maxPause))))
		}
	}
}
