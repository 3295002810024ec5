package main

import (
	"slices"

	"github.com/dragonflyroute/dragonflyroute/model/shift"
)

type movesCmd struct {
	output
	Moves int  `default:"400" help:"Moves of each kind."`
	Twins bool `default:"true" negatable:"" help:"Measure the naive strategies too."`

	LoseAnswers float64 `default:"0" help:"Fraction of the hosts' answers to the mover that are lost."`
}

type kindFigures struct {
	Moves      int     `json:"moves"`
	InTime     float64 `json:"in-time"`
	TakenBack  float64 `json:"taken-back"`
	BadMean    float64 `json:"bad-share-mean"`
	BadP99     float64 `json:"bad-share-p99"`
	AfterShown float64 `json:"after-shown-requests"`
	MeanTook   float64 `json:"mean-seconds"`
	NoTime     float64 `json:"out-of-time"`
}

// requestRates lists the request rates per second that successive moves use in turn.
var requestRates = []float64{20, 100, 300}

// Run measures moves to new versions of every kind, and compares them with two naive strategies.
func (c *movesCmd) Run() error {
	figures := map[string]map[string]kindFigures{}
	kinds := []string{shift.Good, shift.Noisy, shift.Failing, shift.Slow, shift.Later, shift.Load, shift.Route}
	strategies := []string{shift.Product, shift.Clock, shift.AtOnce}
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
	moves := make([]*shift.Shift, c.Moves)
	parallel(c.Moves, func(i int) {
		s := &shift.Shift{Seed: c.Seed*1_000_003 + uint64(i), Kind: kind, Way: strategy, Rate: requestRates[i%len(requestRates)], KillMover: i%4 == 3, LoseAnswers: c.LoseAnswers}
		s.Run()
		moves[i] = s
	})
	return summarise(moves)
}

func summarise(moves []*shift.Shift) kindFigures {
	f := kindFigures{Moves: len(moves)}
	var shares []float64
	for _, s := range moves {
		if s.Done {
			f.InTime++
		}
		if s.TakenBack {
			f.TakenBack++
		}
		if s.TakenBack && s.Took >= shift.Given {
			f.NoTime++
		}
		share := float64(s.MetBad) / float64(max(1, s.Requests))
		shares = append(shares, share)
		f.BadMean += share
		f.AfterShown += float64(s.AfterShown)
		f.MeanTook += s.Took.Seconds()
	}
	slices.Sort(shares)
	n := float64(len(moves))
	f.InTime /= n
	f.TakenBack /= n
	f.BadMean /= n
	f.AfterShown /= n
	f.MeanTook /= n
	f.NoTime /= n
	f.BadP99 = percentile(shares, 0.99)
	return f
}
