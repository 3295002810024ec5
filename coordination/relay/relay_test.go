package relay_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/budget"
	"github.com/dragonflyroute/dragonflyroute/coordination/relay"
	"github.com/dragonflyroute/dragonflyroute/coordination/route"
	"github.com/dragonflyroute/dragonflyroute/coordination/split"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/infer"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/limit"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/period"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/share"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/state/newest"
	"github.com/dragonflyroute/dragonflyroute/state/pool"
	"github.com/dragonflyroute/dragonflyroute/state/server"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
)

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// nextToken returns the token that follows a text. It depends on the whole text, so that a wrong resume changes the
// answer.
func nextToken(text string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return fmt.Sprintf(" w%04x", h.Sum64()&0xffff)
}

func fullAnswer(prompt string, n int) string {
	text := prompt
	for range n {
		text += nextToken(text)
	}
	return strings.TrimPrefix(text, prompt)
}

// fakeEngine generates the tokens of nextToken; when faulty, it also fails, stalls or gets notice at random tokens.
type fakeEngine struct {
	mu    sync.Mutex
	rand  *rand.Rand
	pool  *pool.Pool
	draws int
	// afterNotice counts the attempts that were sent to an endpoint after its notice.
	afterNotice int
	faulty      bool
	// attempts lists the version and the offset of each attempt.
	attempts []attempt
}

type attempt struct {
	version string
	offset  int
}

func (e *fakeEngine) draw(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draws++
	return e.rand.IntN(n)
}

func (e *fakeEngine) Generate(ctx context.Context, s *server.Server, req infer.Request, emit func(string) error) error {
	if s.Leaving() {
		e.afterNotice++
	}
	e.attempts = append(e.attempts, attempt{version: req.Model, offset: strings.Count(req.Text, " w")})
	text, stop := req.Text, -1
	failure := e.draw(4)
	if e.faulty && failure > 0 {
		stop = e.draw(req.MaxTokens + 1)
	}
	for i := range req.MaxTokens {
		if i == stop && failure == 1 {
			return fault.New(kind.Unavailable, "", "connection reset")
		}
		if i == stop && failure == 2 {
			row := *s.Row()
			row.State = roster.Leaving
			s.SetRow(row, time.Now())
			<-ctx.Done()
			return ctx.Err()
		}
		if i == stop && failure == 3 {
			<-ctx.Done()
			return ctx.Err()
		}
		token := nextToken(text)
		text += token
		if err := emit(token); err != nil {
			return err
		}
	}
	return nil
}

func rows(n int) []roster.Row {
	var out []roster.Row
	for i := range n {
		out = append(out, roster.Row{ID: endpt.ID(fmt.Sprint(i)), Backend: "plume", Version: "v1", State: roster.Live, Price: 1})
	}
	return out
}

var model = &entry.Entry{Name: "q", Backend: "plume", Version: "v1", Class: class.Quick, PriceCeiling: 10, Limits: limit.Limits{
	FirstToken: period.Period(10 * time.Millisecond), BetweenTokens: period.Period(500 * time.Microsecond),
	Answer: period.Period(10 * time.Second), MaxTokens: 64,
}}

func newRelay(seed uint64, faulty bool) (*relay.Relay, *fakeEngine) {
	p := &pool.Pool{Self: "e", Subset: 64}
	p.Update(rows(40), time.Now())
	e := &fakeEngine{rand: rand.New(rand.NewPCG(seed, 0)), pool: p, faulty: faulty}
	moves := &trials.Trials{}
	return &relay.Relay{
		Engine:    e,
		Pool:      p,
		Splitter:  &split.Splitter{Moves: moves, Rand: rand.Float64},
		Trials:    discardOutcomes{},
		Retries:   &budget.Budget{Ratio: 1, Max: func() float64 { return 1000 }},
		Catalogue: &newest.Catalogue{},
		Picker:    route.Picker{Rand: rand.Float64},
		Now:       time.Now,
		Trace: func(ctx context.Context, _ string, _ int, _ *server.Server) (context.Context, func(error)) {
			return ctx, func(error) {}
		},
	}, e
}

// crashingEngine begins each answer and breaks it off before the first token.
type crashingEngine struct{ attempts int }

func (e *crashingEngine) Generate(context.Context, *server.Server, infer.Request, func(string) error) error {
	e.attempts++
	return fault.New(kind.OutcomeUnknown, "", "completion stream interrupted")
}

// discardOutcomes ignores the outcomes of attempts.
type discardOutcomes struct{}

func (discardOutcomes) Record(string, string, bool, bool) {}

func ignoreSnapshot(func() ticket.Ticket) {}

var _ = Describe("Relay", func() {
	It("delivers each token once and in order, over endpoints that fail, freeze and leave", func() {
		draws := 0
		for seed := range uint64(150) {
			r, e := newRelay(seed, true)
			t := ticket.Ticket{ID: "r", Prompt: fmt.Sprint("prompt ", seed), MaxTokens: 1 + int(seed%64)}
			text, wantOffset := strings.Builder{}, 0
			err := r.Run(context.Background(), t, model, ignoreSnapshot, func(offset int, _ label.Name, token string) error {
				Expect(offset).To(Equal(wantOffset))
				wantOffset++
				text.WriteString(token)
				return nil
			})
			Expect(err).NotTo(HaveOccurred(), "seed %d", seed)
			Expect(text.String()).To(Equal(fullAnswer(t.Prompt, t.MaxTokens)), "seed %d", seed)
			Expect(e.afterNotice).To(BeZero(), "attempt sent to a leaving endpoint with seed %d", seed)
			draws += e.draws
		}
		Expect(draws).To(BeNumerically(">", 300))
	})

	It("continues from the tokens of a ticket that another host handed over", func() {
		r, _ := newRelay(1, false)
		prompt, full := "p", fullAnswer("p", 20)
		t := ticket.Ticket{ID: "r", Prompt: prompt, MaxTokens: 20, Tokens: []string{full[:6], full[6:12]}}
		text := full[:12]
		Expect(r.Run(context.Background(), t, model, ignoreSnapshot, func(offset int, _ label.Name, token string) error {
			Expect(offset).To(BeNumerically(">=", 2))
			text += token
			return nil
		})).To(Succeed())
		Expect(text).To(Equal(full))
	})

	It("keeps an answer on the version of its first tokens until that version is withdrawn", func() {
		for seed := range uint64(40) {
			r, e := newRelay(seed, true)
			both := rows(40)
			for i := range both {
				if i%2 == 1 {
					both[i].Version = "v2"
				}
			}
			e.pool.Update(both, time.Now())
			moves := &trials.Trials{}
			r.Splitter = &split.Splitter{Moves: moves, Rand: e.rand.Float64}
			h := &newest.Catalogue{}
			h.Offer(&catlog.Catalogue{Revision: 1, Moves: []move.Move{{ID: "m", Entry: "q", From: "v1", To: "v2", State: move.Ramping, Routes: []share.Share{{Name: "q", Fraction: 0.5}}}}})
			r.Catalogue = h
			t := ticket.Ticket{ID: "r", Prompt: "p", MaxTokens: 30}
			Expect(r.Run(context.Background(), t, model, ignoreSnapshot, func(offset int, _ label.Name, _ string) error {
				if offset == 20 && seed%2 == 0 {
					moves.Withdraw("m")
				}
				return nil
			})).To(Succeed())
			for i, a := range e.attempts {
				switch {
				case a.offset == 0:
				case a.offset <= 20 || seed%2 == 1:
					Expect(a.version).To(Equal(e.attempts[i-1].version), "seed %d", seed)
				default:
					Expect(a.version).To(Equal("v1"), "seed %d", seed)
				}
			}
		}
	})

	// Guards against a request that crashes each endpoint which begins to answer it, and is sent to the next one until its
	// deadline.
	It("gives a request up after three endpoints that began its answer and broke it off before the first token", func() {
		r, _ := newRelay(1, false)
		e := &crashingEngine{}
		r.Engine = e
		t := ticket.Ticket{ID: "r", Prompt: "p", MaxTokens: 8}
		err := r.Run(context.Background(), t, model, ignoreSnapshot, func(int, label.Name, string) error { return nil })
		Expect(fault.KindOf(err)).To(Equal(kind.OutcomeUnknown))
		Expect(e.attempts).To(Equal(3))
	})

	It("ends after one attempt with the error of emit when the caller leaves", func() {
		r, e := newRelay(1, false)
		gone := fault.New(kind.OutcomeUnknown, "", "gone")
		err := r.Run(context.Background(), ticket.Ticket{ID: "r", Prompt: "p", MaxTokens: 9}, model, ignoreSnapshot, func(int, label.Name, string) error { return gone })
		Expect(err).To(MatchError(gone))
		Expect(e.draws).To(Equal(1))
	})

	It("refuses to admit a request that can't meet its limits, with a Retry-After", func() {
		r, _ := newRelay(1, false)
		slow := *model
		slow.Limits.Answer = period.Period(100 * time.Millisecond)
		err := r.Admit(ticket.Ticket{Prompt: "p", MaxTokens: 64}, &slow)
		Expect(fault.KindOf(err)).To(Equal(kind.TooLate))
		Expect(fault.From(err).RetryAfter).To(BeNumerically(">", 0))
		slow.Backend = "none"
		Expect(fault.KindOf(r.Admit(ticket.Ticket{Prompt: "p", MaxTokens: 1}, &slow))).To(Equal(kind.TooLate))
	})
})
