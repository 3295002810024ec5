package serve

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/limit"
	"github.com/dragonflyroute/dragonflyroute/protocol/period"
)

// users holds the two users' fleets, in the sizes that their requirements state and at about 60 % utilisation of their
// engines.
var users = map[string]user{
	"kerlann": newUser(10, 2, 7, 2000, 3000),
	"aliance": newUser(20, 3, 7, 1000, 1500),
}

// quickPerEngine and longPerEngine are requests per second and engine.
const (
	quickPerEngine = 2.6
	longPerEngine  = 0.17
)

func newUser(engines, spare, entryHosts int, quickRefund, longRefund int64) user {
	n := float64(engines)
	return user{
		engines:        engines,
		onDemandSpares: spare,
		entryHosts:     entryHosts,
		quickRate:      n * quickPerEngine,
		longRate:       n * longPerEngine,
		quick:          newEntry("quick", class.Quick, 1200*time.Millisecond, 4*time.Second, n*quickPerEngine, quickRefund),
		long:           newEntry("long", class.Long, 8*time.Second, time.Minute, n*longPerEngine, longRefund),
	}
}

// newEntry returns an entry whose rate limit for a small account is a quarter of the load; the large account's limit
// is largeAccountScale times that.
func newEntry(name label.Name, c class.Class, first, answer time.Duration, load float64, refund int64) *entry.Entry {
	rate := load / 4
	return &entry.Entry{Name: name, Backend: "b", Version: "v1", Class: c, Refund: refund, PriceCeiling: 10 * onDemand, Limits: limit.Limits{
		FirstToken: period.Period(first), Answer: period.Period(answer),
		Rate: rate, Burst: int(2*rate) + 7, Concurrent: int(rate*answer.Seconds()) + 7,
	}}
}
