package main

import (
	"slices"

	"github.com/dragonflyroute/dragonflyroute/model/shift"
)

type movesCmd struct {
	output
	Moves int  `default:"400" help:"Moves of each kind."`
	Twins bool `default:"true" negatable:"" help:"Measure the naive strategies too."`

	LoseAnswers float64 `default:"0" help:"Fraction of the hosts' responses to the mover that are lost."`
}

type kindFigures struct {
	Moves                int     `json:"moves"`
	InTime               float64 `json:"in-time"`
	RolledBack           float64 `json:"taken-back"`
	BadMean              float64 `json:"bad-share-mean"`
	BadP99               float64 `json:"bad-share-p99"`
	ExposedAfterEvidence float64 `json:"after-shown-requests"`
	MeanSeconds          float64 `json:"mean-seconds"`
	OutOfTime            float64 `json:"out-of-time"`
}

// requestRates lists the request rates per second that successive moves use in turn.
var requestRates = []float64{20, 100, 300}

// Run measures moves to new versions of every kind, and compares them with two naive strategies.
func (c *movesCmd) Run() error {
	figures := map[string]map[string]kindFigures{}
	kinds := []string{shift.Good, shift.Noisy, shift.Failing, shift.Slow, shift.BadLater, shift.BadUnderLoad, shift.BadOnOneRoute}
	strategies := []string{shift.Product, shift.FixedSteps, shift.AllAtOnce}
	if !c.Twins {
		strategies = strategies[:1]
	}
	for _, strategy := range strategies {
		figures[strategy] = map[string]kindFigures{}
		for _, kind := range kinds {
			figures[strategy][kind] = c.measure(kind, strategy)
		}
	}
	return c.print(figures)
}

func (c *movesCmd) measure(kind, strategy string) kindFigures {
	moves := make([]*shift.Simulation, c.Moves)
	parallel(c.Moves, func(i int) {
		s := &shift.Simulation{Seed: c.Seed*1_000_003 + uint64(i), Kind: kind, Strategy: strategy, Rate: requestRates[i%len(requestRates)], KillMover: i%4 == 3, ResponseLoss: c.LoseAnswers}
		s.Run()
		moves[i] = s
	})
	return summarise(moves)
}

func summarise(moves []*shift.Simulation) kindFigures {
	f := kindFigures{Moves: len(moves)}
	var shares []float64
	for _, s := range moves {
		if s.Done {
			f.InTime++
		}
		if s.RolledBack {
			f.RolledBack++
		}
		if s.RolledBack && s.Elapsed >= shift.TimeLimit {
			f.OutOfTime++
		}
		share := float64(s.ExposedRequests) / float64(max(1, s.Requests))
		shares = append(shares, share)
		f.BadMean += share
		f.ExposedAfterEvidence += float64(s.ExposedAfterEvidence)
		f.MeanSeconds += s.Elapsed.Seconds()
	}
	slices.Sort(shares)
	n := float64(len(moves))
	f.InTime /= n
	f.RolledBack /= n
	f.BadMean /= n
	f.ExposedAfterEvidence /= n
	f.MeanSeconds /= n
	f.OutOfTime /= n
	f.BadP99 = percentile(shares, 0.99)
	return f
}
