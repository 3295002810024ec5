package serve

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/limit"
	"github.com/dragonflyroute/dragonflyroute/protocol/period"
)

// users holds both users at the sizes of their brief, at about 60 % of what their engines can do.
var users = map[string]user{
	"kerlann": newUser(10, 2, 7, 2000, 3000),
	"aliance": newUser(20, 3, 7, 1000, 1500),
}

const (
	quickPerEngine = 2.6
	longPerEngine  = 0.17
)

func newUser(engines, spare, entryHosts int, quickRefund, longRefund int64) user {
	n := float64(engines)
	return user{
		engines:    engines,
		spare:      spare,
		entryHosts: entryHosts,
		quickRate:  n * quickPerEngine,
		longRate:   n * longPerEngine,
		quick:      newEntry("quick", class.Quick, 1200*time.Millisecond, 4*time.Second, n*quickPerEngine, quickRefund),
		long:       newEntry("long", class.Long, 8*time.Second, time.Minute, n*longPerEngine, longRefund),
	}
}

// newEntry gives a small account a quarter of the ordinary load as its rate, and the large one largeScale times that.
func newEntry(name label.Name, c class.Class, first, answer time.Duration, load float64, refund int64) *entry.Entry {
	rate := load / 4
	return &entry.Entry{Name: name, Backend: "b", Version: "v1", Class: c, Refund: refund, PriceCeiling: 10 * onDemand, Limits: limit.Limits{
		FirstToken: period.Period(first), Answer: period.Period(answer),
		Rate: rate, Burst: int(2*rate) + 7, Concurrent: int(rate*answer.Seconds()) + 7,
	}}
}
