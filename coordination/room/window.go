package room

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
)

const (
	// slotTime is the length of a slot, and slotCount the number of slots that the window has.
	slotTime  = 250 * time.Millisecond
	slotCount = 8
)

// window counts the work of the last seconds by priority and account.
type window struct {
	slots [slotCount]slot
}

// slot counts the work of one slot of the window.
type slot struct {
	number int64
	counts map[class]count
	// targets holds the smallest target latency of each priority.
	targets map[int]time.Duration
}

// class is what one account asks for at one priority.
type class struct {
	priority int
	account  acct.ID
}

// count holds prompt tokens that were asked for, counted once for each request, and those that were granted.
type count struct {
	asked, granted int64
	// weight is the account's weight.
	weight float64
}

// at returns the slot of a time, emptied if it is of an earlier round.
func (w *window) at(now time.Time) *slot {
	number := now.UnixNano() / int64(slotTime)
	s := &w.slots[number%slotCount]
	if s.number != number {
		*s = slot{number: number, counts: map[class]count{}, targets: map[int]time.Duration{}}
	}
	return s
}

// ask counts a request that is asked for the first time.
func (w *window) ask(t *task.Task, tokens int64, now time.Time) {
	s := w.at(now)
	key := class{t.Priority, t.Account}
	c := s.counts[key]
	c.asked += tokens
	c.weight = t.Weight
	s.counts[key] = c
}

// see notes the target latency of a request.
func (w *window) see(t *task.Task, now time.Time) {
	s := w.at(now)
	if least, seen := s.targets[t.Priority]; t.TargetLatency > 0 && (!seen || t.TargetLatency < least) {
		s.targets[t.Priority] = t.TargetLatency
	}
}

// grant counts a request that was granted a place.
func (w *window) grant(t *task.Task, tokens int64, now time.Time) {
	s := w.at(now)
	key := class{t.Priority, t.Account}
	c := s.counts[key]
	c.granted += tokens
	c.weight = t.Weight
	s.counts[key] = c
}

// recent calls do with each slot of the window.
func (w *window) recent(now time.Time, do func(s *slot)) {
	oldest := now.UnixNano()/int64(slotTime) - slotCount
	for i := range w.slots {
		if w.slots[i].number > oldest {
			do(&w.slots[i])
		}
	}
}

// targets returns the smallest target latency of recent requests that are more urgent than a priority, and of those at least as
// urgent; 0 if there are none.
func (w *window) targets(priority int, now time.Time) (above, through time.Duration) {
	w.recent(now, func(s *slot) {
		for p, target := range s.targets {
			if p < priority && (above == 0 || target < above) {
				above = target
			}
			if p <= priority && (through == 0 || target < through) {
				through = target
			}
		}
	})
	return above, through
}

// sums returns the work of the window by priority and account.
func (w *window) sums(now time.Time) map[class]count {
	out := map[class]count{}
	w.recent(now, func(s *slot) {
		for key, c := range s.counts {
			sum := out[key]
			sum.asked += c.asked
			sum.granted += c.granted
			sum.weight = max(sum.weight, c.weight)
			out[key] = sum
		}
	})
	return out
}
