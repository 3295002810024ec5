package catsim

import (
	"context"
	"fmt"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
)

// observe checks every process each millisecond: its revision never decreases, and it may serve only with the changes
// that a majority holds.
func (c *History) observe() {
	for !c.observerStopped {
		c.sched.Sleep(time.Millisecond)
		majority := c.majorityRevision()
		for _, p := range c.processes {
			c.check(p, majority)
		}
	}
}

// check counts a process's violations; it allows a stale catalogue for staleBound.
func (c *History) check(p *process, majority int64) {
	if !p.spread.Current(c.sched.Now()) {
		p.lastUpToDate = c.sched.Now()
		return
	}
	revision := p.catalogue.Revision()
	if revision < p.lastRevision {
		c.Reverts++
	}
	p.lastRevision = max(p.lastRevision, revision)
	if revision >= majority {
		p.lastUpToDate = c.sched.Now()
	}
	if c.sched.Now().Sub(p.lastUpToDate) > staleBound {
		c.StaleServed++
	}
}

// majorityRevision returns the highest revision that more than half of the processes have reached.
func (c *History) majorityRevision() int64 {
	best := int64(0)
	for _, p := range c.processes {
		n := 0
		for _, q := range c.processes {
			if q.catalogue.Revision() >= p.catalogue.Revision() {
				n++
			}
		}
		if 2*n > hosts {
			best = max(best, p.catalogue.Revision())
		}
	}
	return best
}

// countBehind returns the number of processes without the table's newest revision.
func (c *History) countBehind() int {
	n := 0
	head := c.headRevision()
	for _, p := range c.processes {
		if p.catalogue.Revision() != head {
			n++
		}
	}
	return n
}

// headRevision returns the table's newest revision, or -1 if it can't be read.
func (c *History) headRevision() int64 {
	head, err := c.processes[0].edits.Head(context.Background())
	if err != nil {
		return -1
	}
	return head.Revision
}

// tally counts accepted changes that aren't in the revision rows exactly once, and refused ones that are there.
func (c *History) tally() {
	notes := map[string]int{}
	for revision := int64(1); ; revision++ {
		row := c.store.Peek(fmt.Sprintf("catalogue/revision/%012d", revision))
		if row.Version == 0 {
			break
		}
		got, faults := catlog.Parse(row.Value)
		if len(faults) == 0 {
			notes[got.Note]++
		}
	}
	for _, note := range c.accepted {
		if notes[note] != 1 {
			c.Lost++
		}
	}
	for _, note := range c.conflicted {
		c.FalseConflicts += notes[note]
	}
}
