package shift_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/model/shift"
)

func TestShift(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shift")
}

const moves = 6

func runMove(kind string, seed uint64) *shift.Simulation { return runMoveWithLoss(kind, seed, 0) }

func runMoveWithLoss(kind string, seed uint64, loss float64) *shift.Simulation {
	s := &shift.Simulation{Seed: seed, Kind: kind, Strategy: shift.Product, Rate: 100, KillMover: seed%2 == 1, ResponseLoss: loss}
	s.Run()
	return s
}

var _ = Describe("version moves", func() {
	for _, kind := range []string{shift.Good, shift.Noisy} {
		It("of a "+kind+" version complete in time, also when the leader dies", func() {
			for seed := range uint64(moves) {
				s := runMove(kind, seed)
				Expect(s.Done).To(BeTrue(), "seed %d: %s", seed, s.Reason)
			}
		})

		It("of a "+kind+" version complete although responses of hosts to the mover are lost", func() {
			for seed := range uint64(moves) {
				s := runMoveWithLoss(kind, seed, 0.05)
				Expect(s.Done).To(BeTrue(), "seed %d: %s", seed, s.Reason)
			}
		})
	}

	for _, kind := range []string{shift.Failing, shift.Slow, shift.BadLater, shift.BadUnderLoad, shift.BadOnOneRoute} {
		It("of a "+kind+" version are rolled back after a small share of the requests, also when the leader dies", func() {
			for seed := range uint64(moves) {
				s := runMove(kind, seed)
				Expect(s.RolledBack).To(BeTrue(), "seed %d", seed)
				Expect(float64(s.ExposedRequests)).To(BeNumerically("<=", 0.03*float64(s.Requests)), "seed %d", seed)
			}
		})
	}
})
