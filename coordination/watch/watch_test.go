package watch_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/watch"
	"github.com/dragonflyroute/dragonflyroute/protocol/delta"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/state/mirror"
)

func TestWatcher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "watch")
}

// source answers reads of changes as scripted, then cancels the watch.
type source struct {
	script    []error
	snapshots int
	after     []int64
	waits     []time.Duration
	end       context.CancelFunc
}

func (s *source) Snapshot(context.Context) ([]record.Record, int64, error) {
	s.snapshots++
	return []record.Record{{Key: "k"}}, int64(10 * s.snapshots), nil
}

func (s *source) Changes(_ context.Context, after int64, wait time.Duration) ([]record.Record, int64, time.Duration, error) {
	s.after = append(s.after, after)
	s.waits = append(s.waits, wait)
	if len(s.after) > len(s.script) {
		s.end()
		return nil, after, 0, nil
	}
	return nil, after + 1, 0, s.script[len(s.after)-1]
}

// longPoll is the time for which the reads of a scripted table wait for changes.
const longPoll = time.Second

// runScript watches a scripted table and returns the outages that were reported.
func runScript(script ...error) (*source, []time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &source{script: script, end: cancel}
	var outages []time.Duration
	w := &watch.Watcher{
		Name: "t", Source: s, OnSnapshot: func([]record.Record) {}, OnChanges: func([]record.Record) {},
		OnRecovery: func(d, _ time.Duration) { outages = append(outages, d) }, Now: time.Now, Log: hclog.NewNullLogger(),
		LongPollWait: func() time.Duration { return longPoll },
	}
	Expect(w.Run(ctx)).To(Succeed())
	return s, outages
}

var _ = Describe("Watcher", func() {
	noAnswer := fault.New(kind.OutcomeUnknown, "", "no answer")
	historyGone := fault.New(kind.Conflict, "after", "the history is gone")

	It("reads the changes after the version it has", func() {
		s, outages := runScript(nil, nil)
		Expect(s.snapshots).To(Equal(1))
		Expect(s.after).To(Equal([]int64{10, 11, 12}))
		Expect(outages).To(BeEmpty())
	})

	It("reads a snapshot again when the change history is gone", func() {
		s, _ := runScript(nil, historyGone)
		Expect(s.snapshots).To(Equal(2))
	})

	It("reads the changes again after one missing answer, and a snapshot after an outage", func() {
		s, outages := runScript(noAnswer, nil)
		Expect(s.snapshots).To(Equal(1))
		Expect(outages).To(HaveLen(1))
		s, outages = runScript(noAnswer, noAnswer, nil)
		Expect(s.snapshots).To(Equal(2))
		Expect(outages).To(HaveLen(1))
	})

	// Guards against a second long poll into the silence that has swallowed the answer to the first one.
	It("does not wait for changes in the read after a missing answer", func() {
		s, _ := runScript(nil, noAnswer, nil, nil)
		Expect(s.waits).To(Equal([]time.Duration{longPoll, longPoll, 0, longPoll, longPoll}))
	})

	Describe("with updates from another host", func() {
		at := time.Unix(1000, 0)
		var now time.Time
		var applied []string
		var recoveries []time.Duration
		var w *watch.Watcher
		row := func(key string, version int64) record.Record {
			return record.Record{Key: key, Value: []byte(key), Version: version}
		}
		BeforeEach(func() {
			now, applied, recoveries = at, nil, nil
			recordCall := func(call string) func(rows []record.Record) {
				return func(rows []record.Record) {
					for _, r := range rows {
						call += " " + r.Key
					}
					applied = append(applied, call)
				}
			}
			w = &watch.Watcher{
				Name: "t", Source: &source{}, OnSnapshot: recordCall("snapshot"), OnChanges: recordCall("changes"), Now: func() time.Time { return now }, Log: hclog.NewNullLogger(),
				OnRecovery: func(_, ago time.Duration) { recoveries = append(recoveries, ago) }, Mirror: &mirror.Mirror{},
				ReadDelay: func(age time.Duration, _ bool) time.Duration { return time.Second - age },
			}
		})
		snapshot := delta.Delta{Version: 20, AgeMillis: 300, RecoveredMillis: -1, Rows: []record.Record{row("a", 7)}}

		It("begins with a snapshot, and counts its age from before the query", func() {
			now = at.Add(100 * time.Millisecond)
			Expect(w.Merge(&delta.Delta{Since: 10, Version: 20, RecoveredMillis: -1}, at)).To(BeFalse(), "changes without a snapshot")
			Expect(w.Merge(&snapshot, at)).To(BeTrue())
			Expect(applied).To(Equal([]string{"snapshot a"}))
			age, known := w.Age()
			Expect(known).To(BeTrue())
			Expect(age).To(Equal(400 * time.Millisecond))
			Expect(w.UntilRead()).To(Equal(600 * time.Millisecond))
		})

		It("applies changes that follow its version, and none that are older or leave a gap", func() {
			Expect(w.Merge(&snapshot, at)).To(BeTrue())
			Expect(w.Merge(&delta.Delta{Since: 20, Version: 25, RecoveredMillis: -1, Rows: []record.Record{row("b", 22)}}, at)).To(BeTrue())
			Expect(w.Merge(&delta.Delta{Since: 20, Version: 24, RecoveredMillis: -1, Rows: []record.Record{row("c", 23)}}, at)).To(BeFalse())
			Expect(w.Merge(&delta.Delta{Since: 27, Version: 30, RecoveredMillis: -1, Rows: []record.Record{row("d", 29)}}, at)).To(BeFalse())
			Expect(applied).To(Equal([]string{"snapshot a", "changes b"}))
			Expect(w.Version()).To(Equal(int64(25)))
		})

		It("is confirmed by updates without rows, and reads the table itself when there are none", func() {
			Expect(w.Merge(&snapshot, at)).To(BeTrue())
			now = at.Add(900 * time.Millisecond)
			Expect(w.UntilRead()).To(BeNumerically("<=", 0))
			Expect(w.Merge(&delta.Delta{Since: 20, Version: 21, AgeMillis: 50, RecoveredMillis: -1}, now)).To(BeTrue())
			Expect(w.UntilRead()).To(Equal(950 * time.Millisecond))
			Expect(applied).To(HaveLen(1))
		})

		It("passes on the rows from another host, with their age", func() {
			Expect(w.Merge(&snapshot, at)).To(BeTrue())
			d, ok := w.Mirror.ChangesSince(0, at.Add(time.Second))
			Expect(ok).To(BeTrue())
			Expect(d.AgeMillis).To(Equal(int64(1300)))
			Expect(d.Rows).To(HaveLen(1))
		})

		It("reports a recovery once, with the time since it", func() {
			recovered := snapshot
			for _, ms := range []int64{100, 900} {
				recovered.RecoveredMillis = ms
				now = now.Add(800 * time.Millisecond)
				Expect(w.Merge(&recovered, now)).To(BeTrue())
			}
			Expect(recoveries).To(Equal([]time.Duration{100 * time.Millisecond}))
		})

		It("reads a snapshot after an outage in which the change history was lost, although another host keeps sending its stale copy", func() {
			now := time.Unix(1000, 0)
			historyGone := fault.New(kind.Conflict, "", "history gone")
			noAnswer := fault.New(kind.OutcomeUnknown, "", "no answer")
			s := &source{script: []error{noAnswer, noAnswer, noAnswer, historyGone, historyGone, historyGone, historyGone}, end: func() {}}
			w := &watch.Watcher{
				Name: "t", Source: s, OnSnapshot: func([]record.Record) {}, OnChanges: func([]record.Record) {}, Now: func() time.Time { return now }, Log: hclog.NewNullLogger(),
			}
			Expect(w.Read(context.Background())).To(Succeed())
			for range 4 {
				now = now.Add(time.Second)
				_ = w.Read(context.Background())
				age := now.Sub(time.Unix(1000, 0))
				w.Merge(&delta.Delta{Since: w.Version(), Version: 10, AgeMillis: age.Milliseconds(), RecoveredMillis: -1}, now)
			}
			Expect(s.snapshots).To(BeNumerically(">=", 2))
			age, known := w.Age()
			Expect(known).To(BeTrue())
			Expect(age).To(BeNumerically("<", 4*time.Second))
		})

		It("can be asked for its version while it decides whether to read", func() {
			w.ReadDelay = func(age time.Duration, _ bool) time.Duration { return time.Duration(w.Version()) - age }
			Expect(w.Merge(&snapshot, at)).To(BeTrue())
			Expect(w.UntilRead()).To(Equal(20 - 300*time.Millisecond))
		})

		It("reads at once what is too long for another host to pass on", func() {
			Expect(w.Merge(&snapshot, at)).To(BeTrue())
			Expect(w.Merge(&delta.Delta{Since: 20, Version: 25, RecoveredMillis: -1, RowsOmitted: true}, at)).To(BeFalse())
			Expect(w.UntilRead()).To(BeZero())
			Expect(w.Version()).To(Equal(int64(20)))
			ctx, cancel := context.WithCancel(context.Background())
			w.Source = &source{script: []error{nil}, end: cancel}
			Expect(w.Read(ctx)).To(Succeed())
			Expect(w.Version()).To(Equal(int64(21)))
			Expect(w.UntilRead()).To(BeNumerically(">", 0))
		})
	})
})
