package follow_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/follow"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/news"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/state/mirror"
)

func TestFollow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "follow")
}

// source answers reads of changes as scripted, then ends the reader.
type source struct {
	script    []error
	snapshots int
	after     []int64
	end       context.CancelFunc
}

func (s *source) Snapshot(context.Context) ([]record.Record, int64, error) {
	s.snapshots++
	return []record.Record{{Key: "k"}}, int64(10 * s.snapshots), nil
}

func (s *source) Changes(_ context.Context, after int64, _ time.Duration) ([]record.Record, int64, error) {
	s.after = append(s.after, after)
	if len(s.after) > len(s.script) {
		s.end()
		return nil, after, nil
	}
	return nil, after + 1, s.script[len(s.after)-1]
}

// runScript follows a scripted table and returns the outages that were told.
func runScript(script ...error) (*source, []time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &source{script: script, end: cancel}
	var outages []time.Duration
	f := &follow.Follow{
		Name: "t", Source: s, Whole: func([]record.Record) {}, Changed: func([]record.Record) {},
		Regained: func(d, _ time.Duration) { outages = append(outages, d) }, Now: time.Now, Log: hclog.NewNullLogger(),
	}
	Expect(f.Run(ctx)).To(Succeed())
	return s, outages
}

var _ = Describe("Follow", func() {
	silent := fault.New(kind.OutcomeUnknown, "", "no answer")
	lost := fault.New(kind.Conflict, "after", "the history is gone")

	It("asks for what follows the version it has", func() {
		s, outages := runScript(nil, nil)
		Expect(s.snapshots).To(Equal(1))
		Expect(s.after).To(Equal([]int64{10, 11, 12}))
		Expect(outages).To(BeEmpty())
	})

	It("reads the whole table again when the history is gone", func() {
		s, _ := runScript(nil, lost)
		Expect(s.snapshots).To(Equal(2))
	})

	It("asks once more after one silent answer, and reads the whole table after an outage", func() {
		s, outages := runScript(silent, nil)
		Expect(s.snapshots).To(Equal(1))
		Expect(outages).To(HaveLen(1))
		s, outages = runScript(silent, silent, nil)
		Expect(s.snapshots).To(Equal(2))
		Expect(outages).To(HaveLen(1))
	})

	Describe("that hears of its table from another host", func() {
		at := time.Unix(1000, 0)
		var now time.Time
		var took []string
		var returned []time.Duration
		var f *follow.Follow
		row := func(key string, version int64) record.Record {
			return record.Record{Key: key, Value: []byte(key), Version: version}
		}
		BeforeEach(func() {
			now, took, returned = at, nil, nil
			take := func(what string) func(rows []record.Record) {
				return func(rows []record.Record) {
					for _, r := range rows {
						what += " " + r.Key
					}
					took = append(took, what)
				}
			}
			f = &follow.Follow{
				Name: "t", Source: &source{}, Whole: take("whole"), Changed: take("changed"), Now: func() time.Time { return now }, Log: hclog.NewNullLogger(),
				Regained: func(_, ago time.Duration) { returned = append(returned, ago) }, Mirror: &mirror.Mirror{},
				Rest: func(age time.Duration, _ bool) time.Duration { return time.Second - age },
			}
		})
		whole := news.News{Version: 20, AgeMillis: 300, BackMillis: -1, Rows: []record.Record{row("a", 7)}}

		It("begins with the whole table, and counts its age from before the question", func() {
			now = at.Add(100 * time.Millisecond)
			Expect(f.Offer(&news.News{Since: 10, Version: 20, BackMillis: -1}, at)).To(BeFalse(), "changes to what is not known")
			Expect(f.Offer(&whole, at)).To(BeTrue())
			Expect(took).To(Equal([]string{"whole a"}))
			age, known := f.Age()
			Expect(known).To(BeTrue())
			Expect(age).To(Equal(400 * time.Millisecond))
			Expect(f.Due()).To(Equal(600 * time.Millisecond))
		})

		It("takes changes that follow its version, and none that are older or leave a gap", func() {
			Expect(f.Offer(&whole, at)).To(BeTrue())
			Expect(f.Offer(&news.News{Since: 20, Version: 25, BackMillis: -1, Rows: []record.Record{row("b", 22)}}, at)).To(BeTrue())
			Expect(f.Offer(&news.News{Since: 20, Version: 24, BackMillis: -1, Rows: []record.Record{row("c", 23)}}, at)).To(BeFalse())
			Expect(f.Offer(&news.News{Since: 27, Version: 30, BackMillis: -1, Rows: []record.Record{row("d", 29)}}, at)).To(BeFalse())
			Expect(took).To(Equal([]string{"whole a", "changed b"}))
			Expect(f.Version()).To(Equal(int64(25)))
		})

		It("is confirmed by news without rows, and reads by itself when none come", func() {
			Expect(f.Offer(&whole, at)).To(BeTrue())
			now = at.Add(900 * time.Millisecond)
			Expect(f.Due()).To(BeNumerically("<=", 0))
			Expect(f.Offer(&news.News{Since: 20, Version: 21, AgeMillis: 50, BackMillis: -1}, now)).To(BeTrue())
			Expect(f.Due()).To(Equal(950 * time.Millisecond))
			Expect(took).To(HaveLen(1))
		})

		It("passes on what it heard, with its age", func() {
			Expect(f.Offer(&whole, at)).To(BeTrue())
			n, ok := f.Mirror.News(0, at.Add(time.Second))
			Expect(ok).To(BeTrue())
			Expect(n.AgeMillis).To(Equal(int64(1300)))
			Expect(n.Rows).To(HaveLen(1))
		})

		It("tells once that the table is back, and since when", func() {
			back := whole
			for _, ms := range []int64{100, 900} {
				back.BackMillis = ms
				now = now.Add(800 * time.Millisecond)
				Expect(f.Offer(&back, now)).To(BeTrue())
			}
			Expect(returned).To(Equal([]time.Duration{100 * time.Millisecond}))
		})

		It("reads the whole table after an outage in which the history was forgotten, though another host tells its old view all the while", func() {
			now := time.Unix(1000, 0)
			gone := fault.New(kind.Conflict, "", "history gone")
			down := fault.New(kind.OutcomeUnknown, "", "no answer")
			s := &source{script: []error{down, down, down, gone, gone, gone, gone}, end: func() {}}
			f := &follow.Follow{
				Name: "t", Source: s, Whole: func([]record.Record) {}, Changed: func([]record.Record) {}, Now: func() time.Time { return now }, Log: hclog.NewNullLogger(),
			}
			Expect(f.Read(context.Background())).To(Succeed())
			for range 4 {
				now = now.Add(time.Second)
				_ = f.Read(context.Background())
				old := now.Sub(time.Unix(1000, 0))
				f.Offer(&news.News{Since: f.Version(), Version: 10, AgeMillis: old.Milliseconds(), BackMillis: -1}, now)
			}
			Expect(s.snapshots).To(BeNumerically(">=", 2))
			age, known := f.Age()
			Expect(known).To(BeTrue())
			Expect(age).To(BeNumerically("<", 4*time.Second))
		})

		It("may be asked for its version while it decides whether to read", func() {
			f.Rest = func(age time.Duration, _ bool) time.Duration { return time.Duration(f.Version()) - age }
			Expect(f.Offer(&whole, at)).To(BeTrue())
			Expect(f.Due()).To(Equal(20 - 300*time.Millisecond))
		})

		It("reads at once what is too long to be told", func() {
			Expect(f.Offer(&whole, at)).To(BeTrue())
			Expect(f.Offer(&news.News{Since: 20, Version: 25, BackMillis: -1, Long: true}, at)).To(BeFalse())
			Expect(f.Due()).To(BeZero())
			Expect(f.Version()).To(Equal(int64(20)))
			ctx, cancel := context.WithCancel(context.Background())
			f.Source = &source{script: []error{nil}, end: cancel}
			Expect(f.Read(ctx)).To(Succeed())
			Expect(f.Version()).To(Equal(int64(21)))
			Expect(f.Due()).To(BeNumerically(">", 0))
		})
	})
})
