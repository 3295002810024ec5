package elect_test

import (
	"context"
	"encoding/json"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/elect"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/lease"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

func TestElect(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "elect")
}

// oneRow is a table with one row, whose commits can be made to fail.
type oneRow struct {
	era     eras.Era
	version int64
	value   []byte
	failing bool
}

func (t *oneRow) Read(_ context.Context, key string) (record.Record, error) {
	return record.Record{Key: key, Value: t.value, Version: t.era.Qualify(t.version)}, nil
}

func (t *oneRow) Commit(_ context.Context, txn table.Txn) (int64, error) {
	if t.failing {
		return 0, fault.New(kind.Unavailable, "", "no answer")
	}
	if txn.IsOfOtherEra(t.era) || eras.Local(txn.Conds[0].Version) != t.version {
		return 0, nil
	}
	t.version++
	t.value = txn.Writes[0].Value
	return t.era.Qualify(t.version), nil
}

var _ = Describe("Elector of a store that is restored", func() {
	// Guards against a lease that nobody holds for a term, because the holder's first write after the restore failed and the
	// copy names an earlier holder.
	It("stays the holder within its term when the first write in the new era fails", func() {
		now := time.Unix(1000, 0)
		ids := 0
		store := &oneRow{era: 1}
		e := &elect.Elector{Store: store, Key: "duties", Self: "b", Incarnation: 1, Term: 3 * time.Second, Now: func() time.Time { return now }, NewID: func() string {
			ids++
			return strconv.Itoa(ids)
		}}
		ctx := context.Background()
		Expect(e.Step(ctx)).To(Succeed())
		now = now.Add(4 * time.Second)
		Expect(e.Step(ctx)).To(Succeed())
		_, held := e.Held()
		Expect(held).To(BeTrue())

		earlier, err := json.Marshal(lease.Lease{Holder: "a", Incarnation: 1, Fence: 1, TermMillis: 3000, Era: 1, WriteID: "a1"})
		Expect(err).NotTo(HaveOccurred())
		store.era, store.version, store.value, store.failing = 2, 1, earlier, true
		now = now.Add(500 * time.Millisecond)
		Expect(e.Step(ctx)).NotTo(Succeed())
		now = now.Add(500 * time.Millisecond)
		_ = e.Step(ctx)
		_, held = e.Held()
		Expect(held).To(BeTrue(), "after a first failure")
		store.failing = false
		now = now.Add(500 * time.Millisecond)
		Expect(e.Step(ctx)).To(Succeed())
		_, held = e.Held()
		Expect(held).To(BeTrue(), "once the store takes the row")
	})
})
