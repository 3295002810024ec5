package moves_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/canary"
	"github.com/dragonflyroute/dragonflyroute/coordination/moves"
	"github.com/dragonflyroute/dragonflyroute/coordination/ramp"
	"github.com/dragonflyroute/dragonflyroute/coordination/swap"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
)

func TestMoves(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "moves")
}

// lateTable is a table that may give no answer to a write and carry it out later, if its condition still holds then.
type lateTable struct {
	version int64
	rows    map[string]record.Record
	// lose is the number of the next writes that get no answer.
	lose int
	lost []table.Txn
}

func (t *lateTable) Commit(_ context.Context, txn table.Txn) (int64, error) {
	if t.lose > 0 {
		t.lose--
		t.lost = append(t.lost, txn)
		return 0, fault.New(kind.OutcomeUnknown, "", "no answer")
	}
	return t.apply(txn), nil
}

func (t *lateTable) apply(txn table.Txn) int64 {
	for _, c := range txn.Conds {
		if t.rows[c.Key].Version != c.Version {
			return 0
		}
	}
	t.version++
	for _, w := range txn.Writes {
		t.rows[w.Key] = record.Record{Key: w.Key, Value: w.Value, Version: t.version}
	}
	return t.version
}

// carryOut carries out the writes that got no answer.
func (t *lateTable) carryOut() {
	for _, txn := range t.lost {
		t.apply(txn)
	}
	t.lost = nil
}

func (t *lateTable) Read(_ context.Context, key string) (record.Record, error) {
	if r, ok := t.rows[key]; ok {
		return r, nil
	}
	return record.Record{Key: key}, nil
}

const (
	stateKey  = "move/plume"
	statusKey = "status/plume"
	// lasts is the duration of a requested move, and perStep the requests of a second.
	lasts   = 100 * time.Second
	perStep = 25
	// lateBy is the number of seconds after the end of a move at which lost writes are carried out.
	lateBy = 6
)

// fixture is a fleet of the tables and some hosts, of which the first one leads at the start.
type fixture struct {
	now           time.Time
	hosts, status *lateTable
	all           []*member
	requests      int64
}

// member is a host of the fleet.
type member struct {
	*moves.Moves
	fence int64
}

func newFixture(n int) *fixture {
	f := &fixture{now: time.Unix(1000, 0), hosts: &lateTable{rows: map[string]record.Record{}}, status: &lateTable{rows: map[string]record.Record{}}}
	for range n {
		f.start()
	}
	f.all[0].fence = 1
	return f
}

// start adds a host, which reads the tables.
func (f *fixture) start() *member {
	m := &member{}
	own := &trials.Trials{}
	steps := ramp.Default()
	m.Moves = &moves.Moves{
		Canary: &canary.Canary{Trials: own, Judge: steps.Judge, Rand: func() float64 { return 0 }}, Trials: own, Ramp: steps, Hosts: &swap.Rows{Store: f.hosts}, Status: &swap.Rows{Store: f.status},
		Held: func() (int64, bool) { return m.fence, m.fence > 0 },
		Decode: func(version int64, data []byte) (move.Move, time.Duration, error) {
			return move.Move{ID: "plume@" + string(rune('0'+version)), Entry: "plume", To: "v2"}, lasts, nil
		},
		EncodeStatus: func(m move.Move) (string, []byte, error) { return statusKey, []byte(m.State), nil },
		Now:          func() time.Time { return f.now }, Log: hclog.NewNullLogger(),
	}
	f.all = append(f.all, m)
	return m
}

// order gives all hosts the operator's request of a move.
func (f *fixture) order() move.Move {
	f.requests++
	for _, m := range f.all {
		m.Request(record.Record{Key: "op/plume", Version: f.requests})
	}
	return f.all[0].Canary.Requested()[0]
}

// second lets a second pass: requests are answered, the leader steps the move, and all hosts read the hosts' table.
func (f *fixture) second() {
	f.now = f.now.Add(time.Second)
	for _, m := range f.all {
		if m.fence > 0 {
			f.answer(m)
			m.Step(context.Background())
		}
	}
	f.read()
}

// answer counts the answers of a second, by the share of the move that is in progress.
func (f *fixture) answer(m *member) {
	for _, requested := range m.Canary.Requested() {
		known, ok := m.Canary.State("plume", requested.ID)
		if !ok || known.Ended() {
			continue
		}
		for i := range perStep {
			m.Trials.Record(known.ID, "q", float64(i) < known.ShareOf("q")*perStep, false)
		}
	}
}

// read lets all hosts read the state of the move.
func (f *fixture) read() {
	for _, m := range f.all {
		if r, ok := f.hosts.rows[stateKey]; ok {
			m.SetState(r)
		}
	}
}

func (f *fixture) stored() (m move.Move) {
	Expect(json.Unmarshal(f.hosts.rows[stateKey].Value, &m)).To(Succeed())
	return m
}

// ended reports whether the state that the table holds is that of an ended move.
func (f *fixture) ended() bool { return len(f.hosts.rows) > 0 && f.stored().State != move.Ramping }

// playUntil plays seconds until a condition holds.
func (f *fixture) playUntil(what string, holds func() bool) {
	for range 3 * int(lasts/time.Second) {
		if holds() {
			return
		}
		f.second()
	}
	Fail(what + " did not come")
}

func (f *fixture) expectDone(id string) {
	GinkgoHelper()
	for _, m := range f.all {
		known, ok := m.Canary.State("plume", id)
		Expect(ok).To(BeTrue())
		Expect(known.State).To(Equal(move.Done))
	}
	Expect(f.stored().State).To(Equal(move.Done))
	Expect(string(f.status.rows[statusKey].Value)).To(Equal(move.Done))
}

var _ = Describe("Moves beside a table that carries writes out late", func() {
	// Guards against a completed move that is rolled back, because an earlier write of its state is carried out after its end.
	It("stay done when an earlier write of the state is carried out after the end", func() {
		f := newFixture(3)
		m := f.order()
		f.playUntil("a share of 0.3", func() bool { _, begun := f.hosts.rows[stateKey]; return begun && f.stored().Share >= 0.3 })
		f.hosts.lose = 1
		f.playUntil("the end", f.ended)
		Expect(f.hosts.lost).To(HaveLen(1))
		for range lateBy {
			f.second()
		}
		f.hosts.carryOut()
		f.read()
		for range 5 {
			f.second()
		}
		f.expectDone(m.ID)
	})

	// Guards against an operator who reads that a completed move is running.
	It("keep their status when an earlier write of it is carried out after the end", func() {
		f := newFixture(1)
		m := f.order()
		f.status.lose = 1
		f.playUntil("the end", f.ended)
		Expect(f.status.lost).To(HaveLen(1))
		f.status.carryOut()
		f.second()
		f.expectDone(m.ID)
	})

	// Guards against a verdict that the holder of the lease before has written, carried out after that of the present one.
	It("keep the verdict of the lease's holder when a write of the one before is carried out", func() {
		f := newFixture(2)
		m := f.order()
		f.playUntil("a share of 0.3", func() bool { _, begun := f.hosts.rows[stateKey]; return begun && f.stored().Share >= 0.3 })
		f.hosts.lose = 1
		f.second()
		f.all[0].fence, f.all[1].fence = 0, 2
		for range 100 {
			f.all[1].Trials.Record(m.ID, "q", true, true)
		}
		f.playUntil("the verdict", func() bool { return f.stored().State == move.RolledBack })
		f.hosts.carryOut()
		f.read()
		for range 3 {
			f.second()
		}
		Expect(f.stored().State).To(Equal(move.RolledBack))
		Expect(string(f.status.rows[statusKey].Value)).To(Equal(move.RolledBack))
	})

	// Guards against a lease holder that starts a move anew which has ended, as it has not read the state yet.
	It("keep the verdict when the lease's next holder has not read it", func() {
		f := newFixture(1)
		m := f.order()
		f.playUntil("the end", f.ended)
		late := f.start()
		late.Request(record.Record{Key: "op/plume", Version: f.requests})
		f.all[0].fence, late.fence = 0, 2
		late.Step(context.Background())
		late.Step(context.Background())
		f.expectDone(m.ID)
	})
})
