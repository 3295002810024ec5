package calls

import (
	"time"
)

// injectOutages makes the table unavailable for random times shorter than MaxOutage, until the callers have ended.
func (c *History) injectOutages() {
	for c.callersEnded < keys {
		c.sched.Jitter(c.MaxOutage)
		c.inLongOutage, c.store.Down = true, true
		c.sched.Jitter(c.MaxOutage)
		c.inLongOutage, c.store.Down = false, false
	}
}

// injectFaults kills and pauses processes, and makes the table or the remote service unreachable, until the callers
// have ended.
func (c *History) injectFaults() {
	for c.callersEnded < keys {
		c.sched.Jitter(2 * max(callerWait, c.MaxOutage))
		p := c.hosts[c.sched.Rand.IntN(entryHosts)]
		switch c.sched.Rand.IntN(5) {
		case 0:
			c.sched.Kill(string(p.id))
			c.startProcess(p)
		case 1:
			c.sched.Pause(string(p.id), time.Duration(c.sched.Rand.Int64N(int64(maxPause))))
		case 2:
			c.store.Down = true
			c.sched.Jitter(callerWait)
			c.store.Down = c.inLongOutage
		case 3:
			c.disconnected = true
			c.sched.Jitter(callerWait)
			c.disconnected = false
		default:
		}
	}
}
