// Package homes plays callers that follow address answers, and counts how evenly entry hosts are used.
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
	keepTime = 5 * time.Second
	playTime = time.Hour
	// settleTime is left out of the figures.
	settleTime = 10 * time.Minute
	// totalLoad is the number of requests in progress in all.
	totalLoad = 1400.0
	// skew is the exponent of the accounts' Zipf distribution.
	skew = 0.8
	// waves and waveTime move the accounts' loads up and down.
	waves    = 0.5
	waveTime = 20 * time.Minute
)

// Homes is one run: accounts of very different loads, whose callers ask for addresses again and again while loads move,
// a host leaves and comes back.
type Homes struct {
	// Seed decides everything.
	Seed uint64
	// Even gives all hosts the same weight whatever their load.
	Even bool

	// Ratios holds the largest host's load over the mean, at each step.
	Ratios []float64
	// Turns counts the times a caller changed its host, and Asks the answers that callers got.
	Turns, Asks int

	rand    *rand.Rand
	now     time.Time
	place   place.Place
	pulses  []beat.Heartbeat
	weights []*weight.Weight
	at      [accounts][callers]string
	// loads holds the requests in progress by host.
	loads map[string]float64
}

// Run plays the hour.
func (h *Homes) Run() {
	h.rand = rand.New(rand.NewPCG(h.Seed, 9))
	h.place = place.Place{Shuffle: h.rand.Shuffle}
	start := time.Unix(1_000_000, 0)
	for i := range hosts {
		h.pulses = append(h.pulses, beat.Heartbeat{Host: host.ID(fmt.Sprintf("entry-%d", i)), CallerAddress: fmt.Sprint(i), State: beat.Live, Weight: 1})
		h.weights = append(h.weights, &weight.Weight{})
	}
	for passed := time.Duration(0); passed < playTime; passed += step {
		h.now = start.Add(passed)
		h.leave(passed)
		h.ask()
		h.measure(passed)
		h.heartbeat()
	}
}

// leave takes one host away for the middle third.
func (h *Homes) leave(passed time.Duration) {
	h.pulses[0].State = beat.Live
	if passed > playTime/3 && passed < 2*playTime/3 {
		h.pulses[0].State = beat.Leaving
	}
}

// ask lets the callers whose answer ran out ask again.
func (h *Homes) ask() {
	for a := range accounts {
		for c := range callers {
			if h.at[a][c] != "" && h.rand.Float64() >= step.Seconds()/keepTime.Seconds() {
				continue
			}
			got := h.place.Addresses(acct.ID(fmt.Sprint(a)), 1, h.pulses)[0]
			h.Asks++
			if h.at[a][c] != "" && h.at[a][c] != got {
				h.Turns++
			}
			h.at[a][c] = got
		}
	}
}

// load returns the requests that an account has in progress now.
func (h *Homes) load(account int) float64 {
	phase := 2 * math.Pi * (float64(h.now.Unix())/waveTime.Seconds() + float64(account)*math.Phi)
	return math.Pow(float64(account+1), -skew) * (1 + waves*math.Sin(phase))
}

func (h *Homes) measure(passed time.Duration) {
	h.loads = map[string]float64{}
	total := 0.0
	for a := range accounts {
		total += h.load(a)
	}
	for a := range accounts {
		for c := range callers {
			h.loads[h.at[a][c]] += h.load(a) / total * totalLoad / callers
		}
	}
	live, largest := 0, 0.0
	for _, p := range h.pulses {
		if p.State == beat.Live {
			live++
			largest = max(largest, h.loads[p.CallerAddress])
		}
	}
	if passed >= settleTime {
		h.Ratios = append(h.Ratios, largest/(totalLoad/float64(live)))
	}
}

// heartbeat tells every host's load and weight, as they were a step ago.
func (h *Homes) heartbeat() {
	before := append([]beat.Heartbeat(nil), h.pulses...)
	for i := range h.pulses {
		h.pulses[i].InFlight = int(h.loads[h.pulses[i].CallerAddress])
		peers := append(append([]beat.Heartbeat(nil), before[:i]...), before[i+1:]...)
		next := h.weights[i].Next(h.pulses[i].InFlight, peers, h.now)
		if !h.Even {
			h.pulses[i].Weight = next
		}
	}
}
