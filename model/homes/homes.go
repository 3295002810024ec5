// Package homes simulates callers that resolve the addresses of their account's entry hosts, and measures how evenly
// the load is spread over the entry hosts.
package homes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/coordination/weight"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
)

const (
	hosts    = 7
	accounts = 60
	callers  = 20
	step     = 500 * time.Millisecond
	// addressTTL is the mean time for which a caller keeps an address before it looks one up again.
	addressTTL = 5 * time.Second
	runTime    = time.Hour
	// warmUpTime is excluded from the measurements.
	warmUpTime = 10 * time.Minute
	// totalLoad is the number of requests in progress over all accounts.
	totalLoad = 1400.0
	// zipfExponent is the exponent of the accounts' Zipf distribution.
	zipfExponent = 0.8
	// loadAmplitude is the relative amplitude of the sine by which an account's load varies, with period loadPeriod.
	loadAmplitude = 0.5
	loadPeriod    = 20 * time.Minute
)

// Simulation is one run: the callers of accounts with very different loads resolve addresses repeatedly, while the
// loads vary and one entry host drains and returns.
type Simulation struct {
	// Seed determines the whole run.
	Seed uint64
	// EqualWeights gives all entry hosts the same weight, regardless of their load.
	EqualWeights bool

	// MaxOverMean holds the highest load of an entry host divided by the mean, for each step after the warm-up.
	MaxOverMean []float64
	// HostChanges counts the lookups that moved a caller to another entry host, and Lookups counts all.
	HostChanges, Lookups int

	rand       *rand.Rand
	now        time.Time
	place      place.Place
	heartbeats []beat.Heartbeat
	weights    []*weight.Weight
	assigned   [accounts][callers]string
	// loads holds the requests in progress by host.
	loads map[string]float64
}

// Run simulates one hour and sets the results.
func (h *Simulation) Run() {
	h.rand = rand.New(rand.NewPCG(h.Seed, 9))
	h.place = place.Place{Shuffle: h.rand.Shuffle}
	start := time.Unix(1_000_000, 0)
	for i := range hosts {
		h.heartbeats = append(h.heartbeats, beat.Heartbeat{Host: host.ID(fmt.Sprintf("entry-%d", i)), CallerAddress: fmt.Sprint(i), State: beat.Live, Weight: 1})
		h.weights = append(h.weights, &weight.Weight{})
	}
	for elapsed := time.Duration(0); elapsed < runTime; elapsed += step {
		h.now = start.Add(elapsed)
		h.drainHost(elapsed)
		h.resolve()
		h.measure(elapsed)
		h.exchangeHeartbeats()
	}
}

// drainHost marks the first entry host as leaving during the middle third of the run.
func (h *Simulation) drainHost(elapsed time.Duration) {
	h.heartbeats[0].State = beat.Live
	if elapsed > runTime/3 && elapsed < 2*runTime/3 {
		h.heartbeats[0].State = beat.Leaving
	}
}

// resolve repeats the lookup of callers whose address has expired.
func (h *Simulation) resolve() {
	for a := range accounts {
		for c := range callers {
			if h.assigned[a][c] != "" && h.rand.Float64() >= step.Seconds()/addressTTL.Seconds() {
				continue
			}
			got := h.place.Addresses(acct.ID(fmt.Sprint(a)), 1, h.heartbeats)[0]
			h.Lookups++
			if h.assigned[a][c] != "" && h.assigned[a][c] != got {
				h.HostChanges++
			}
			h.assigned[a][c] = got
		}
	}
}

// accountLoad returns an account's current relative load.
func (h *Simulation) accountLoad(account int) float64 {
	phase := 2 * math.Pi * (float64(h.now.Unix())/loadPeriod.Seconds() + float64(account)*math.Phi)
	return math.Pow(float64(account+1), -zipfExponent) * (1 + loadAmplitude*math.Sin(phase))
}

// measure assigns the load to the entry hosts and records the highest over the mean.
func (h *Simulation) measure(elapsed time.Duration) {
	h.loads = map[string]float64{}
	total := 0.0
	for a := range accounts {
		total += h.accountLoad(a)
	}
	for a := range accounts {
		for c := range callers {
			h.loads[h.assigned[a][c]] += h.accountLoad(a) / total * totalLoad / callers
		}
	}
	live, largest := 0, 0.0
	for _, b := range h.heartbeats {
		if b.State == beat.Live {
			live++
			largest = max(largest, h.loads[b.CallerAddress])
		}
	}
	if elapsed >= warmUpTime {
		h.MaxOverMean = append(h.MaxOverMean, largest/(totalLoad/float64(live)))
	}
}

// exchangeHeartbeats updates every entry host's load and weight, with its peers' values of the step before.
func (h *Simulation) exchangeHeartbeats() {
	before := append([]beat.Heartbeat(nil), h.heartbeats...)
	for i := range h.heartbeats {
		h.heartbeats[i].InFlight = int(h.loads[h.heartbeats[i].CallerAddress])
		peers := append(append([]beat.Heartbeat(nil), before[:i]...), before[i+1:]...)
		next := h.weights[i].Next(h.heartbeats[i].InFlight, peers, h.now)
		if !h.EqualWeights {
			h.heartbeats[i].Weight = next
		}
	}
}
