package calls

import (
	"time"
)

// outages takes the table out of service for long until the callers have ended.
func (c *Calls) outages() {
	for c.ended < keys {
		c.sched.Jitter(c.Outage)
		c.longOut, c.store.Down = true, true
		c.sched.Jitter(c.Outage)
		c.longOut, c.store.Down = false, false
	}
}

// nemesis kills, pauses and cuts until the callers have ended.
func (c *Calls) nemesis() {
	for c.ended < keys {
		c.sched.Jitter(2 * max(callerWait, c.Outage))
		p := c.hosts[c.sched.Rand.IntN(entryHosts)]
		switch c.sched.Rand.IntN(5) {
		case 0:
			c.sched.Kill(string(p.id))
			c.start(p)
		case 1:
			c.sched.Pause(string(p.id), time.Duration(c.sched.Rand.Int64N(int64(maxPause))))
		case 2:
			c.store.Down = true
			c.sched.Jitter(callerWait)
			c.store.Down = c.longOut
		case 3:
			c.cut = true
			c.sched.Jitter(callerWait)
			c.cut = false
		default:
		}
	}
}
