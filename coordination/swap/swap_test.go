package swap_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/swap"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

func TestSwap(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "swap")
}

// oneRow is a table with one row, which may give no answer to a write and carry it out later.
type oneRow struct {
	era     eras.Era
	version int64
	row     record.Record
	lose    bool
	lost    table.Txn
	reads   int
}

func (t *oneRow) Commit(_ context.Context, txn table.Txn) (int64, error) {
	if t.lose {
		t.lost = txn
		return 0, fault.New(kind.OutcomeUnknown, "", "no answer")
	}
	return t.apply(txn), nil
}

func (t *oneRow) apply(txn table.Txn) int64 {
	expected := txn.Conds[0].Version
	if expected != 0 && expected != t.row.Version || expected == 0 && t.row.Exists() {
		return 0
	}
	t.version++
	t.row = record.Record{Key: txn.Writes[0].Key, Value: txn.Writes[0].Value, Version: t.era.Qualify(t.version)}
	if t.row.Value == nil {
		t.row.Version = t.era.Qualify(0)
	}
	return t.era.Qualify(t.version)
}

func (t *oneRow) Read(context.Context, string) (record.Record, error) {
	t.reads++
	return t.row, nil
}

var _ = Describe("Rows", func() {
	var (
		store *oneRow
		rows  *swap.Rows
	)
	ctx := context.Background()
	a, b, c := []byte("a"), []byte("b"), []byte("c")
	write := func(rs *swap.Rows, value []byte) error {
		_, err := rs.Write(ctx, "k", value)
		return err
	}
	BeforeEach(func() {
		store = &oneRow{era: 1}
		rows = &swap.Rows{Store: store}
	})

	It("writes a row that no other process has written, in one call each time", func() {
		for _, value := range [][]byte{a, b, nil, c} {
			Expect(write(rows, value)).To(Succeed())
			Expect(store.row.Value).To(Equal(value))
		}
		Expect(store.reads).To(BeZero())
	})

	// Guards against a late write that undoes a later one of the same process, or of another.
	DescribeTable("undoes nothing when the store carries a write out late",
		func(first, late, later []byte) {
			if first != nil {
				Expect(write(rows, first)).To(Succeed())
			}
			store.lose = true
			Expect(write(rows, late)).To(MatchError(ContainSubstring("no answer")))
			store.lose = false
			other := &swap.Rows{Store: store}
			other.Observe(store.row)
			Expect(write(other, later)).To(Succeed())
			store.apply(store.lost)
			Expect(store.row.Value).To(Equal(later))
			Expect(fault.KindOf(write(rows, late))).To(Equal(kind.Conflict))
			Expect(rows.Known("k").Value).To(Equal(later))
		},
		Entry("a row that is new", nil, a, b),
		Entry("a change", a, b, c),
		Entry("a deletion", a, nil, c),
	)

	It("counts a write as done that the store has carried out without an answer", func() {
		store.lose = true
		Expect(write(rows, a)).NotTo(Succeed())
		store.lose = false
		store.apply(store.lost)
		Expect(write(rows, a)).To(Succeed())
		Expect(store.version).To(BeEquivalentTo(1))
	})

	It("returns a Conflict once, and writes over the other row when called again", func() {
		Expect(write(rows, a)).To(Succeed())
		other := &swap.Rows{Store: store}
		Expect(fault.KindOf(write(other, b))).To(Equal(kind.Conflict))
		Expect(other.Known("k").Value).To(Equal(a))
		Expect(write(other, b)).To(Succeed())
	})

	It("writes a row again that a restore of the store has lost or changed", func() {
		Expect(write(rows, a)).To(Succeed())
		Expect(write(rows, b)).To(Succeed())
		for _, copied := range []record.Record{{Key: "k", Version: eras.Era(2).Qualify(0)}, {Key: "k", Value: a, Version: eras.Era(2).Qualify(1)}} {
			store.era, store.row = 2, copied
			rows.Observe(record.Record{Key: "k", Value: b, Version: eras.Era(1).Qualify(2)})
			Expect(fault.KindOf(write(rows, b))).To(Equal(kind.Conflict))
			Expect(write(rows, b)).To(Succeed())
			Expect(store.row.Value).To(Equal(b))
		}
	})

	It("knows the newest of the rows that were read, in whatever order", func() {
		rows.Observe(record.Record{Key: "k", Value: b, Version: 5})
		rows.Observe(record.Record{Key: "k", Value: a, Version: 4})
		Expect(rows.Known("k").Value).To(Equal(b))
		rows.Observe(record.Record{Key: "k", Version: 6, Deleted: true})
		Expect(rows.Known("k").Exists()).To(BeFalse())
	})
})
