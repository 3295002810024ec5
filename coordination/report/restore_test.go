package report_test

import (
	"context"
	"maps"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/report"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/usage"
)

// eraRows is a table that is restored from copies.
type eraRows struct {
	rows
	era eras.Era
	// restoreBefore restores the table before the next commit is applied.
	restoreBefore bool
}

func (t *eraRows) restore(values map[string][]byte) {
	t.era++
	t.values = values
}

func (t *eraRows) Commit(ctx context.Context, txn table.Txn) (int64, error) {
	if t.restoreBefore {
		t.restoreBefore = false
		t.restore(map[string][]byte{})
	}
	version, err := t.rows.Commit(ctx, txn)
	if version > 0 {
		version = t.era.Qualify(version)
	}
	return version, err
}

func (t *eraRows) Read(ctx context.Context, key string) (record.Record, error) {
	r, err := t.rows.Read(ctx, key)
	r.Version = t.era.Qualify(r.Version)
	return r, err
}

var _ = Describe("Report to a store that is restored from a copy", func() {
	const length = 5 * time.Second
	ctx := context.Background()
	start := time.Unix(1000, 0)
	end := start.Add(length)
	number := start.UnixNano() / int64(length)
	var (
		store *eraRows
		cloud *platform
		// known is the time since which the holder knows of all persisted counts.
		known time.Time
	)
	newReport := func(requests int) *report.Report {
		u := &usage.Usage{WindowLength: length}
		for range requests {
			u.RecordBegun(&work.Request{Account: "a"}, start.Add(time.Second))
		}
		return &report.Report{
			Store: store, Usage: u, Platform: cloud, Held: func() (int64, bool) { return store.era.Qualify(1), true }, OnStaleFence: func() {},
			KnownSince: func() time.Time { return known }, Deadline: 10 * time.Second, Log: hclog.NewNullLogger(),
		}
	}
	BeforeEach(func() {
		store = &eraRows{rows: rows{values: map[string][]byte{}}, era: 1}
		cloud = &platform{reports: map[int64][]int64{}}
		known = start
	})

	// Guards against a window that is reported twice with different counts: the counts that were sent are lost with the
	// restore, and the next holder has others.
	It("does not count a window again that may have been reported before the restore", func() {
		newReport(3).Step(ctx, end.Add(2*time.Second))
		store.restore(map[string][]byte{})
		known = end.Add(3 * time.Second)
		newReport(5).Step(ctx, end.Add(4*time.Second))
		Expect(cloud.reports[number]).To(Equal([]int64{3}))
	})

	It("repeats the counts if the copy has them", func() {
		newReport(3).Step(ctx, end.Add(2*time.Second))
		store.restore(maps.Clone(store.values))
		known = end.Add(3 * time.Second)
		newReport(5).Step(ctx, end.Add(4*time.Second))
		Expect(cloud.reports[number]).To(Equal([]int64{3, 3}))
	})

	It("persists its counts again, so that the next holder can repeat them", func() {
		cloud.fail = true
		first := newReport(3)
		first.Step(ctx, end.Add(2*time.Second))
		store.restore(map[string][]byte{})
		first.Step(ctx, end.Add(3*time.Second))
		known = end.Add(3 * time.Second)
		cloud.fail = false
		newReport(5).Step(ctx, end.Add(4*time.Second))
		Expect(cloud.reports[number]).To(Equal([]int64{3, 3, 3}))
	})

	It("reports a window that could not be reported before the restore", func() {
		known = end.Add(time.Second)
		newReport(3).Step(ctx, end.Add(2*time.Second))
		Expect(cloud.reports[number]).To(Equal([]int64{3}))
	})

	It("sends nothing if the store is restored while the counts are persisted", func() {
		store.restoreBefore = true
		r := newReport(3)
		held := store.era.Qualify(1)
		r.Held = func() (int64, bool) { return held, true }
		r.Step(ctx, end.Add(2*time.Second))
		Expect(cloud.reports).To(BeEmpty())
		held = store.era.Qualify(1)
		known = end.Add(3 * time.Second)
		r.Step(ctx, end.Add(4*time.Second))
		Expect(cloud.reports).To(BeEmpty())
	})
})
