package rates_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/rates"
	"github.com/dragonflyroute/dragonflyroute/protocol/client"
)

func TestRates(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rates")
}

const (
	hosts = 6
	step  = 20 * time.Millisecond
	size  = 500.0
	steps = 3000
	// slack is what may be admitted beyond rate and burst over any window, as a part.
	slack = 1.1
)

var account = &client.Client{Name: "big", Rate: 10_000, Burst: 10_000, Tokens: true}

// flood sends far more than the account's rate, spread unevenly over the hosts, and returns the tokens admitted in
// each step. told reports whether hosts hear each other at a step; restart replaces all hosts at one step.
func flood(told func(i int) bool, restart int) []float64 {
	now := time.Unix(1000, 0)
	all := fresh(now)
	out := make([]float64, steps)
	for i := range steps {
		now = now.Add(step)
		if i == restart {
			all = fresh(now)
		}
		for h := range all {
			for range 1 + h {
				if _, ok := all[h].Admit(account, size, now); ok {
					out[i] += size
				}
			}
		}
		if told(i) && i%20 == 0 {
			tell(all, now)
		}
	}
	return out
}

func fresh(now time.Time) []*rates.Rates {
	var all []*rates.Rates
	for range hosts {
		all = append(all, &rates.Rates{Hosts: func() int { return hosts }, Started: now})
	}
	return all
}

func tell(all []*rates.Rates, now time.Time) {
	for from := range all {
		for to := range all {
			if from != to {
				all[to].Hear(fmt.Sprint(from), all[from].Demand(now), now)
			}
		}
	}
}

// worst returns the most that was admitted in any window of the given number of steps.
func worst(admitted []float64, window int) float64 {
	most, sum := 0.0, 0.0
	for i, n := range admitted {
		sum += n
		if i >= window {
			sum -= admitted[i-window]
		}
		most = max(most, sum)
	}
	return most
}

var _ = Describe("Rates", func() {
	window := int(8 * time.Second / step)
	allowed := slack * (8*account.Rate + account.Burst)
	always := func(int) bool { return true }

	It("keeps an account within its rate and burst over all hosts", func() {
		admitted := flood(always, -1)
		Expect(worst(admitted, window)).To(BeNumerically("<=", allowed+hosts*size))
	})

	It("gives an account most of what it may have", func() {
		admitted := flood(always, -1)
		Expect(worst(admitted[1000:], window)).To(BeNumerically(">=", 0.85*8*account.Rate))
	})

	It("gives no burst twice when all hosts start again", func() {
		admitted := flood(always, 1500)
		Expect(worst(admitted, window)).To(BeNumerically("<=", allowed+hosts*size))
	})

	It("keeps an account within its rate while no host hears another", func() {
		admitted := flood(func(int) bool { return false }, 1500)
		Expect(worst(admitted, window)).To(BeNumerically("<=", allowed+hosts*size))
	})

	It("takes no account without a rate for limited", func() {
		r := &rates.Rates{Hosts: func() int { return 1 }}
		_, ok := r.Admit(&client.Client{Name: "free"}, 1e9, time.Unix(1000, 0))
		Expect(ok).To(BeTrue())
	})
})
