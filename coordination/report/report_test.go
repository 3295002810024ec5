package report_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/report"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/usage"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "report")
}

// rows is a table; loseNext makes it apply the next commit without answering.
type rows struct {
	values   map[string][]byte
	loseNext bool
}

func (t *rows) Commit(_ context.Context, txn table.Txn) (int64, error) {
	for _, c := range txn.Conds {
		if _, ok := t.values[c.Key]; ok != (c.Version > 0) {
			return 0, nil
		}
	}
	for _, w := range txn.Writes {
		delete(t.values, w.Key)
		if w.Value != nil {
			t.values[w.Key] = w.Value
		}
	}
	if t.loseNext {
		t.loseNext = false
		return 0, fault.New(kind.OutcomeUnknown, "", "no answer")
	}
	return 1, nil
}

func (t *rows) Read(_ context.Context, key string) (record.Record, error) {
	value, ok := t.values[key]
	if !ok {
		return record.Record{Key: key}, nil
	}
	return record.Record{Key: key, Value: value, Version: 1}, nil
}

// platform records every report; with fail set it applies them without answering.
type platform struct {
	reports map[int64][]int64
	fail    bool
}

func (p *platform) ReportUsage(_ context.Context, _, window int64, counts map[acct.ID]int64) error {
	p.reports[window] = append(p.reports[window], counts["a"])
	if p.fail {
		return fault.New(kind.OutcomeUnknown, "", "no answer")
	}
	return nil
}

var _ = Describe("Report", func() {
	const length = 5 * time.Second
	start := time.Unix(1000, 0)
	end := start.Add(length)
	var (
		store *rows
		cloud *platform
		held  bool
	)
	newReport := func(requests int) *report.Report {
		u := &usage.Usage{WindowLength: length}
		for range requests {
			u.RecordBegun(&work.Request{Account: "a"}, start.Add(time.Second))
		}
		return &report.Report{
			Store: store, Usage: u, Platform: cloud, Held: func() (int64, bool) { return 1, held }, OnStaleFence: func() {},
			Deadline: 10 * time.Second, Log: hclog.NewNullLogger(),
		}
	}
	number := start.UnixNano() / int64(length)
	BeforeEach(func() {
		store = &rows{values: map[string][]byte{}}
		cloud = &platform{reports: map[int64][]int64{}}
		held = true
	})

	It("reports a window once, after the last counts have arrived", func() {
		r := newReport(3)
		r.Step(context.Background(), end.Add(time.Second))
		Expect(cloud.reports).NotTo(HaveKey(number))
		r.Step(context.Background(), end.Add(2*time.Second))
		r.Step(context.Background(), end.Add(3*time.Second))
		Expect(cloud.reports[number]).To(Equal([]int64{3}))
	})

	It("lets the next lease holder, which has other counts, repeat the report exactly", func() {
		cloud.fail = true
		newReport(3).Step(context.Background(), end.Add(2*time.Second))
		cloud.fail = false
		newReport(5).Step(context.Background(), end.Add(4*time.Second))
		Expect(cloud.reports[number]).To(Equal([]int64{3, 3}))
	})

	It("sends the counts in the table when the answer of its commit was lost", func() {
		store.loseNext = true
		newReport(3).Step(context.Background(), end.Add(2*time.Second))
		newReport(5).Step(context.Background(), end.Add(3*time.Second))
		for _, n := range cloud.reports[number] {
			Expect(n).To(Equal(int64(3)))
		}
		Expect(cloud.reports[number]).NotTo(BeEmpty())
	})

	It("lets the next lease holder repeat every report that may still be sent, however short the windows are", func() {
		short := func(requests int) *report.Report {
			r := newReport(0)
			u := &usage.Usage{WindowLength: time.Second}
			for range requests {
				u.RecordBegun(&work.Request{Account: "a"}, start)
			}
			r.Usage = u
			return r
		}
		first := short(3)
		for n := range 9 {
			first.Step(context.Background(), start.Add(time.Duration(n+2)*time.Second))
		}
		short(0).Step(context.Background(), start.Add(10*time.Second))
		Expect(cloud.reports[start.Unix()]).To(Equal([]int64{3, 3}))
	})

	// Guards against a persisted report that is deleted by a holder whose wall clock is ahead for a while, and is then sent
	// with other counts.
	DescribeTable("repeats a report exactly after a holder's clock was ahead",
		func(ahead time.Duration) {
			cloud.fail = true
			newReport(3).Step(context.Background(), end.Add(2*time.Second))
			holder := newReport(0)
			for n := range 30 {
				holder.Step(context.Background(), end.Add(ahead+time.Duration(n)*time.Second))
			}
			cloud.fail = false
			newReport(5).Step(context.Background(), end.Add(4*time.Second))
			Expect(cloud.reports[number]).To(Equal([]int64{3, 3}))
		},
		Entry("by seconds", 11*time.Second), Entry("by half a minute", 30*time.Second), Entry("by minutes", 5*time.Minute),
	)

	It("waits for hosts that have not sent their counts, but not until the report is overdue", func() {
		complete := false
		r := newReport(3)
		r.Complete = func(int64) bool { return complete }
		r.Step(context.Background(), end.Add(2*time.Second))
		Expect(cloud.reports).NotTo(HaveKey(number))
		complete = true
		r.Step(context.Background(), end.Add(3*time.Second))
		Expect(cloud.reports[number]).To(Equal([]int64{3}))

		r = newReport(4)
		r.Complete = func(int64) bool { return false }
		store.values, cloud.reports = map[string][]byte{}, map[int64][]int64{}
		r.Step(context.Background(), end.Add(6*time.Second))
		Expect(cloud.reports).NotTo(HaveKey(number))
		r.Step(context.Background(), end.Add(8*time.Second))
		Expect(cloud.reports[number]).To(Equal([]int64{4}))
	})

	It("sends nothing without the lease, and no overdue report", func() {
		held = false
		newReport(3).Step(context.Background(), end.Add(2*time.Second))
		held = true
		newReport(3).Step(context.Background(), end.Add(11*time.Second))
		Expect(cloud.reports).NotTo(HaveKey(number))
	})
})
