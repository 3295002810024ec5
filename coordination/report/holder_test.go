package report_test

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/report"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/usage"
)

var _ = Describe("Report whose lease changes hands at a restore", func() {
	// Guards against a window that is never reported, though the process that persisted its counts still runs: the lease
	// ended while the store was away, and another process took it.
	It("persists its counts again without the lease, so that the new holder reports them", func() {
		const length = 5 * time.Second
		ctx := context.Background()
		start := time.Unix(1000, 0)
		end := start.Add(length)
		number := start.UnixNano() / int64(length)
		store := &eraRows{rows: rows{values: map[string][]byte{}}, era: 1}
		refusing := &platform{reports: map[int64][]int64{}, fail: true}
		cloud := &platform{reports: map[int64][]int64{}}
		holds := true
		newHolder := func(to *platform, held *bool, known time.Time) *report.Report {
			u := &usage.Usage{WindowLength: length}
			u.RecordBegun(&work.Request{Account: "a"}, start.Add(time.Second))
			return &report.Report{
				Store: store, Usage: u, Platform: to, Held: func() (int64, bool) { return store.era.Qualify(1), *held }, OnStaleFence: func() {},
				KnownSince: func() time.Time { return known }, Deadline: 10 * time.Second, Log: hclog.NewNullLogger(),
			}
		}
		first := newHolder(refusing, &holds, start.Add(-time.Hour))
		first.Step(ctx, end.Add(2*time.Second))
		Expect(store.values).To(HaveKeyWithValue("usage/200", []byte(`{"a":1}`)), "persisted by the first holder")
		store.restore(map[string][]byte{})
		holds = false
		other := true
		first.Step(ctx, end.Add(4*time.Second))
		newHolder(cloud, &other, end.Add(3*time.Second)).Step(ctx, end.Add(5*time.Second))
		Expect(cloud.reports[number]).To(Equal([]int64{1}))
	})
})
