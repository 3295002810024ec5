package moves_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/canary"
	"github.com/dragonflyroute/dragonflyroute/coordination/moves"
	"github.com/dragonflyroute/dragonflyroute/coordination/ramp"
	"github.com/dragonflyroute/dragonflyroute/coordination/swap"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/ending"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/result"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
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
	// lasts is the duration of a requested move, and perSecond the requests of a second.
	lasts     = 100 * time.Second
	perSecond = 25
	// lateBy is the number of seconds after the end of a move at which lost writes are carried out.
	lateBy = 6
)

// fixture is a fleet of the tables and some hosts, of which the first one holds the lease at the start.
type fixture struct {
	now           time.Time
	hosts, status *lateTable
	all           []*member
	requests      []record.Record
	rand          *rand.Rand
	// endpoints are the endpoints of the back end, and fails is the share of requests that each version answers with a failure.
	endpoints []*target.Target
	fails     map[label.Name]float64
	// served counts the requests that each version got.
	served map[label.Name]int
}

// member is a host of the fleet.
type member struct {
	*moves.Moves
	id    host.ID
	fence int64
}

func newFixture(n int) *fixture {
	f := &fixture{
		now: time.Unix(1000, 0), hosts: &lateTable{rows: map[string]record.Record{}}, status: &lateTable{rows: map[string]record.Record{}},
		rand: rand.New(rand.NewPCG(1, 1)), fails: map[label.Name]float64{}, served: map[label.Name]int{},
	}
	f.add("v1")
	f.add("v2")
	for range n {
		f.start()
	}
	f.all[0].fence = 1
	return f
}

// add adds an endpoint of a version.
func (f *fixture) add(version label.Name) {
	f.endpoints = append(f.endpoints, target.New(roster.Row{ID: endpt.ID("e-" + version), Backend: "plume", Version: version, State: roster.Live}))
}

// serving returns the version of the first endpoint that has none of some versions.
func (f *fixture) serving(_ label.Name, apart []label.Name) label.Name {
	for _, t := range f.endpoints {
		if version := t.Row().Version; !slices.Contains(apart, version) {
			return version
		}
	}
	return ""
}

// start adds a host, which has read the operator's table and not the hosts' table.
func (f *fixture) start() *member {
	m := &member{id: host.ID(fmt.Sprint("host-", len(f.all)))}
	own := &trials.Trials{Now: func() time.Time { return f.now }}
	steps := ramp.Default()
	m.Moves = &moves.Moves{
		Canary: &canary.Canary{Trials: own, Judge: steps.Judge, Rand: f.rand.Float64}, Trials: own, Ramp: steps,
		Hosts: &swap.Rows{Store: f.hosts}, Status: &swap.Rows{Store: f.status},
		Serving: f.serving,
		Held:    func() (int64, bool) { return m.fence, m.fence > 0 },
		Decode: func(version int64, data []byte) (move.Move, time.Duration, error) {
			return move.Move{ID: fmt.Sprint("plume@", version), Entry: "plume", To: label.Name(data)}, lasts, nil
		},
		EncodeStatus: func(m move.Move) (string, []byte, error) { return statusKey, []byte(m.State), nil },
		Now:          func() time.Time { return f.now }, Log: hclog.NewNullLogger(),
	}
	f.all = append(f.all, m)
	if len(f.requests) > 0 {
		m.Request(f.requests[len(f.requests)-1])
	}
	return m
}

// order gives all hosts the operator's request of a move to a version.
func (f *fixture) order(to string) move.Move {
	f.requests = append(f.requests, record.Record{Key: "op/plume", Value: []byte(to), Version: int64(1 + len(f.requests))})
	for _, m := range f.all {
		m.Request(f.requests[len(f.requests)-1])
	}
	return f.all[0].Canary.Requested()[0]
}

// second lets a second pass: requests are answered, the holder of the lease steps the move, and all hosts read the hosts'
// table.
func (f *fixture) second() {
	f.now = f.now.Add(time.Second)
	f.answer()
	for _, m := range f.all {
		if m.fence == 0 {
			continue
		}
		for _, peer := range f.all {
			if peer != m {
				m.SetPeer(beat.Heartbeat{Host: peer.id, Trials: peer.Running()})
			}
		}
		m.Step(context.Background())
	}
	f.read()
}

// answer answers the requests of a second, in turn at all hosts.
func (f *fixture) answer() {
	w := &work.Request{Backend: "plume", Route: &path.Route{Name: "q"}}
	for i := range perSecond {
		m := f.all[i%len(f.all)]
		chosen := m.Canary.Choose(w)
		usable := chosen.Filter(f.endpoints)
		if len(usable) == 0 {
			f.served["none"]++
			continue
		}
		t := usable[f.rand.IntN(len(usable))]
		version := t.Row().Version
		f.served[version]++
		r := result.Result{Ending: ending.Delivered, Sent: true, Status: 200}
		if f.rand.Float64() < f.fails[version] {
			r.Ending = ending.Failed
		}
		m.Canary.Record(chosen, t, w, r)
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
		m := f.order("v2")
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
		m := f.order("v2")
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
		m := f.order("v2")
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
		m := f.order("v2")
		f.playUntil("the end", f.ended)
		late := f.start()
		f.all[0].fence, late.fence = 0, 2
		late.Step(context.Background())
		late.Step(context.Background())
		f.expectDone(m.ID)
	})
})

var _ = Describe("The next order after a version", func() {
	var f *fixture
	// badVersion plays a move to v2, which fails most requests, until it is rolled back.
	badVersion := func() {
		f = newFixture(3)
		f.fails["v2"] = 0.6
		f.order("v2")
		f.playUntil("the rollback", func() bool { return f.ended() })
		Expect(f.stored().State).To(Equal(move.RolledBack))
		f.second()
		f.served = map[label.Name]int{}
	}
	play := func(seconds int) {
		for range seconds {
			f.second()
		}
	}
	// Guards against a rolled-back version that gets requests again with the next order, before its endpoints have drained.
	It("that was rolled back sends it no requests", func() {
		badVersion()
		f.add("v3")
		f.order("v3")
		play(20)
		Expect(f.served["v2"]).To(BeZero())
		Expect(f.served["v1"]).To(BeNumerically(">", f.served["v3"]))
		f.playUntil("the end", f.ended)
		Expect(f.stored().State).To(Equal(move.Done))
		Expect(f.served["v2"]).To(BeZero())
	})

	// Guards against a host that starts between the orders and takes the rolled-back version for the old one.
	It("that was rolled back sends it none from a host that starts between the orders, or after the second one", func() {
		badVersion()
		f.start()
		f.read()
		f.add("v3")
		f.order("v3")
		play(1)
		f.start()
		f.read()
		play(20)
		Expect(f.served["v2"]).To(BeZero())
	})

	// Guards against a verdict that is lost as the holder of the lease changes before it has read the verdict.
	It("that was rolled back sends it none when the next holder of the lease has just started", func() {
		badVersion()
		f.add("v3")
		f.order("v3")
		f.all[0].fence = 0
		f.start().fence = 2
		f.all[3].Step(context.Background())
		f.read()
		play(20)
		Expect(f.stored().To).To(BeEquivalentTo("v3"))
		Expect(f.served["v2"]).To(BeZero())
	})

	// Guards against a version without a verdict that counts as the old one, as its move was replaced.
	It("without a verdict sends it no requests", func() {
		f = newFixture(3)
		f.fails["v2"] = 0.6
		f.order("v2")
		play(2)
		f.add("v3")
		f.order("v3")
		f.served = map[label.Name]int{}
		play(20)
		Expect(f.served["v2"]).To(BeZero())
	})

	// Guards against an older verdict that the third order forgets.
	It("that was rolled back, and the one after it too, sends neither of them requests", func() {
		badVersion()
		f.add("v3")
		f.fails["v3"] = 0.6
		f.order("v3")
		f.playUntil("the second rollback", func() bool { return f.stored().To == "v3" && f.ended() })
		f.add("v4")
		f.served = map[label.Name]int{}
		f.order("v4")
		f.start()
		f.read()
		play(20)
		Expect(f.served["v2"] + f.served["v3"]).To(BeZero())
		f.playUntil("the end", func() bool { return f.stored().To == "v4" && f.ended() })
		Expect(f.stored().State).To(Equal(move.Done))
	})

	// Guards against a repaired version that never gets requests, as one of its name was rolled back.
	It("of the same name completes when it was repaired", func() {
		badVersion()
		f.fails["v2"] = 0
		m := f.order("v2")
		f.playUntil("the end", func() bool { return f.stored().ID == m.ID && f.ended() })
		f.expectDone(m.ID)
	})

	// Guards against the order back to the old version, which would send all requests to the bad one.
	It("that goes back to the old one sends all requests there", func() {
		badVersion()
		f.order("v1")
		play(20)
		Expect(f.served).To(HaveLen(1))
		Expect(f.served["v1"]).NotTo(BeZero())
	})

	// Guards against a completed version that counts as one without a verdict, as the end has not been read yet.
	It("that was completed takes it for the old one at once", func() {
		f = newFixture(3)
		f.order("v2")
		f.playUntil("the full share", func() bool { return len(f.hosts.rows) > 0 && f.stored().Share >= 1 })
		f.endpoints = f.endpoints[1:]
		f.add("v3")
		f.order("v3")
		f.served = map[label.Name]int{}
		play(20)
		Expect(f.served["none"]).To(BeZero())
		Expect(f.served["v2"]).To(BeNumerically(">", f.served["v3"]))
	})
})
