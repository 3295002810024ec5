package member_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/member"
	"github.com/dragonflyroute/dragonflyroute/coordination/swap"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

// lateTable is a table that gives no answer to writes while lose is set, and carries them out later.
type lateTable struct {
	version int64
	rows    map[string]record.Record
	lose    bool
	lost    []table.Txn
}

func (t *lateTable) Commit(_ context.Context, txn table.Txn) (int64, error) {
	if t.lose {
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
		if w.Value == nil {
			delete(t.rows, w.Key)
		}
	}
	return t.version
}

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

// process is the process of a host; its own row is of the given start.
type process struct {
	*member.Member
	rows *swap.Rows
	row  roster.Row
}

func start(t *lateTable, incarnation int64) *process {
	p := &process{rows: &swap.Rows{Store: t}, row: roster.Row{ID: "a", State: roster.Live, StartMillis: incarnation}}
	p.Member = &member.Member{Rows: p.rows, Own: func() roster.Row { return p.row }, Log: hclog.NewNullLogger()}
	return p
}

var _ = Describe("The rows of entry hosts", func() {
	var store *lateTable
	ctx := context.Background()
	now := time.Unix(1000, 0)
	const aMinute = time.Minute
	BeforeEach(func() { store = &lateTable{rows: map[string]record.Record{}} })
	stored := func() string { return string(store.rows["a"].Value) }
	// joinLost makes a process write its row once without an answer.
	joinLost := func(p *process) {
		short, cancel := context.WithCancel(ctx)
		store.lose = true
		p.Own = func() roster.Row {
			time.AfterFunc(50*time.Millisecond, cancel)
			return p.row
		}
		p.Join(short)
		p.Own = func() roster.Row { return p.row }
		store.lose = false
	}

	// Guards against a host that has stopped and is listed as live, by a write of its start that is carried out late.
	It("keep that of a host that leaves when an earlier one is carried out late", func() {
		p := start(store, 1)
		joinLost(p)
		Expect(store.lost).NotTo(BeEmpty())
		p.Join(ctx)
		p.row.State = roster.Leaving
		p.Join(ctx)
		store.carryOut()
		Expect(stored()).To(ContainSubstring(`"state":"leaving"`))
	})

	// Guards against a host that is back and is not listed, as a row of its process before is carried out late.
	It("keep that of a host's next start when one of the start before is carried out late", func() {
		before := start(store, 1)
		before.Join(ctx)
		before.row.State = roster.Leaving
		joinLost(before)
		Expect(store.lost).NotTo(BeEmpty())
		start(store, 2).Join(ctx)
		store.carryOut()
		Expect(stored()).To(ContainSubstring(`"born-ms":2`))
	})

	Describe("of which one is down", func() {
		gone := slices.Values([]host.ID{"a"})
		var leader *process
		BeforeEach(func() {
			start(store, 1).Join(ctx)
			leader = start(store, 1)
			leader.rows.Observe(store.rows["a"])
			leader.RemoveDown(ctx, gone, now)
		})

		It("lose it after some time, and only then", func() {
			leader.RemoveDown(ctx, gone, now.Add(aMinute/3))
			Expect(stored()).NotTo(BeEmpty())
			leader.RemoveDown(ctx, gone, now.Add(aMinute))
			Expect(stored()).To(BeEmpty())
		})

		// Guards against a host that is back and is not listed, as the removal of its row is carried out late.
		It("keep it when its host is back before the removal is carried out", func() {
			store.lose = true
			leader.RemoveDown(ctx, gone, now.Add(aMinute))
			store.lose = false
			Expect(store.lost).To(HaveLen(1))
			start(store, 2).Join(ctx)
			store.carryOut()
			Expect(stored()).To(ContainSubstring(`"born-ms":2`))
		})

		// Guards against the removal of a row that its host has written while it still counts as down.
		It("keep it when its host has written it meanwhile", func() {
			start(store, 2).Join(ctx)
			leader.rows.Observe(store.rows["a"])
			leader.RemoveDown(ctx, gone, now.Add(aMinute))
			Expect(stored()).To(ContainSubstring(`"born-ms":2`))
		})
	})
})
