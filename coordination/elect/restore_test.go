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

	Describe("when the holder has taken the lease over from another one", func() {
		const term = 3 * time.Second
		var (
			now      time.Time
			store    *oneRow
			e        *elect.Elector
			acquired time.Time
		)
		ctx := context.Background()
		rowOf := func(holder string, era eras.Era) []byte {
			value, err := json.Marshal(lease.Lease{Holder: "a", Incarnation: 1, Fence: 1, TermMillis: term.Milliseconds(), Era: era, KnownSinceMillis: 900_000, WriteID: holder})
			Expect(err).NotTo(HaveOccurred())
			return value
		}
		BeforeEach(func() {
			now = time.Unix(1000, 0)
			store = &oneRow{era: 1, version: 1, value: rowOf("a", 1)}
			ids := 0
			e = &elect.Elector{Store: store, Key: "duties", Self: "b", Incarnation: 1, Term: term, Now: func() time.Time { return now }, NewID: func() string {
				ids++
				return strconv.Itoa(ids)
			}}
			Expect(e.Step(ctx)).To(Succeed())
			now = now.Add(term + time.Millisecond)
			Expect(e.Step(ctx)).To(Succeed())
			acquired = now
			Expect(e.KnownSince()).To(Equal(time.UnixMilli(900_000)))
		})
		restore := func(after time.Duration) (held bool) {
			now = now.Add(after)
			store.era, store.version, store.value = 2, 1, rowOf("a", 1)
			Expect(e.Step(ctx)).To(Succeed())
			_, held = e.Held()
			return held
		}

		// Guards against a window that is counted again, as the earlier holder's counts are lost with the restore.
		It("knows only what it wrote itself, and goes on as the holder", func() {
			Expect(restore(time.Second)).To(BeTrue())
			Expect(e.KnownSince()).To(Equal(acquired))
		})

		It("goes on at once after an outage within the term, as no other can have taken the lease", func() {
			Expect(restore(term - time.Millisecond)).To(BeTrue())
			Expect(e.KnownSince()).To(Equal(acquired))
		})

		It("waits like all others after a longer one", func() {
			Expect(restore(term)).To(BeFalse())
			seen := now
			now = now.Add(term + time.Millisecond)
			Expect(e.Step(ctx)).To(Succeed())
			_, held := e.Held()
			Expect(held).To(BeTrue())
			Expect(e.KnownSince()).To(Equal(seen))
		})
	})
})
