package cats

import (
	"context"
	"fmt"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
)

// observe looks at every process between all steps: revisions only grow, and who may serve knows what is in force.
func (c *Cats) observe() {
	for !c.calm {
		c.sched.Sleep(time.Millisecond)
		inForce := c.inForce()
		for _, p := range c.processes {
			c.look(p, inForce)
		}
	}
}

func (c *Cats) look(p *process, inForce int64) {
	if !p.spread.Current(c.sched.Now()) {
		p.stale = c.sched.Now()
		return
	}
	revision := p.holder.Revision()
	if revision < p.shown {
		c.Reverts++
	}
	p.shown = max(p.shown, revision)
	if revision >= inForce {
		p.stale = c.sched.Now()
	}
	if c.sched.Now().Sub(p.stale) > staleBound {
		c.StaleServed++
	}
}

// inForce returns the highest revision that more than half of the processes hold.
func (c *Cats) inForce() int64 {
	best := int64(0)
	for _, p := range c.processes {
		n := 0
		for _, q := range c.processes {
			if q.holder.Revision() >= p.holder.Revision() {
				n++
			}
		}
		if 2*n > hosts {
			best = max(best, p.holder.Revision())
		}
	}
	return best
}

func (c *Cats) behind() int {
	n := 0
	head := c.headRevision()
	for _, p := range c.processes {
		if p.holder.Revision() != head {
			n++
		}
	}
	return n
}

func (c *Cats) headRevision() int64 {
	head, err := c.processes[0].edits.Head(context.Background())
	if err != nil {
		return -1
	}
	return head.Revision
}

// count looks for every accepted change in the history rows.
func (c *Cats) count() {
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
	for _, note := range c.refused {
		c.FalseConflicts += notes[note]
	}
}
