package mirror_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/delta"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/state/mirror"
)

func TestMirror(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mirror")
}

func row(key, value string, version int64) record.Record {
	return record.Record{Key: key, Value: []byte(value), Version: version}
}

func removed(key string, version int64) record.Record {
	return record.Record{Key: key, Version: version, Deleted: true}
}

// keys returns the rows of an answer as KEY=VALUE, or KEY- for those that are removed.
func keys(d delta.Delta) (out []string) {
	for _, r := range d.Rows {
		if r.Deleted {
			out = append(out, r.Key+"-")
			continue
		}
		out = append(out, r.Key+"="+string(r.Value))
	}
	return out
}

var _ = Describe("Mirror", func() {
	at := time.Unix(1000, 0)
	var m *mirror.Mirror
	BeforeEach(func() {
		m = &mirror.Mirror{}
		m.Replace([]record.Record{row("a", "1", 3), row("b", "1", 5)}, 10, at)
	})
	changesSince := func(have int64) delta.Delta {
		d, ok := m.ChangesSince(have, at.Add(700*time.Millisecond))
		Expect(ok).To(BeTrue())
		return d
	}

	It("returns nothing before the first snapshot", func() {
		_, ok := (&mirror.Mirror{}).ChangesSince(0, at)
		Expect(ok).To(BeFalse())
	})

	It("sends a snapshot to a host that has none, or one from before the first read", func() {
		for _, have := range []int64{0, 9} {
			d := changesSince(have)
			Expect(d.IsSnapshot()).To(BeTrue())
			Expect(keys(d)).To(ConsistOf("a=1", "b=1"))
			Expect(d.Version).To(Equal(int64(10)))
		}
	})

	It("sends the last change of each row, and the age of the copy", func() {
		m.Update([]record.Record{row("a", "2", 11), row("c", "1", 12)}, 12, at)
		m.Update([]record.Record{row("a", "3", 13), removed("b", 14)}, 15, at.Add(200*time.Millisecond))
		d := changesSince(10)
		Expect(d.IsSnapshot()).To(BeFalse())
		Expect(keys(d)).To(ConsistOf("a=3", "b-", "c=1"))
		Expect([]int64{d.Since, d.Version, d.AgeMillis, d.RecoveredMillis}).To(Equal([]int64{10, 15, 500, -1}))
		Expect(keys(changesSince(12))).To(ConsistOf("a=3", "b-"))
		Expect(changesSince(15).Rows).To(BeEmpty())
	})

	It("sends the removal of rows that a new snapshot lacks", func() {
		m.Replace([]record.Record{row("a", "1", 3)}, 20, at)
		Expect(keys(changesSince(10))).To(ConsistOf("b-"))
	})

	// Guards against a host that keeps a row which this one never saw: it was written and removed between two reads.
	It("sends the removal of a row that it never had, once", func() {
		m.Update([]record.Record{removed("c", 12)}, 12, at)
		m.Update([]record.Record{removed("c", 12)}, 12, at)
		Expect(keys(changesSince(11))).To(Equal([]string{"c-"}))
		Expect(keys(changesSince(12))).To(BeEmpty())
	})

	// Guards against changes of two histories of the table in one answer.
	It("sends all rows to a host that has a version of an earlier era", func() {
		version := eras.Era(1).Qualify(4)
		m.Replace([]record.Record{row("a", "1", version)}, version, at)
		d := changesSince(10)
		Expect(d.IsSnapshot()).To(BeTrue())
		Expect(keys(d)).To(Equal([]string{"a=1"}))
		Expect(keys(changesSince(version))).To(BeEmpty())
	})

	It("sends removed rows for which the table gave no version", func() {
		m.Update([]record.Record{removed("a", 0)}, 17, at)
		Expect(keys(changesSince(10))).To(ConsistOf("a-"))
	})

	It("sends no change between equivalent values, but stores the row", func() {
		m.Equivalent = func(_ string, a, b []byte) bool { return a[0] == b[0] }
		m.Update([]record.Record{row("a", "1 later", 11)}, 11, at)
		Expect(changesSince(10).Rows).To(BeEmpty())
		Expect(keys(changesSince(0))).To(ContainElement("a=1 later"))
	})

	It("reports the table's recovery for a while after an outage", func() {
		m.RecordRecovery(at.Add(300 * time.Millisecond))
		Expect(changesSince(10).RecoveredMillis).To(Equal(int64(400)))
		d, _ := m.ChangesSince(10, at.Add(time.Minute))
		Expect(d.RecoveredMillis).To(Equal(int64(-1)))
	})

	It("leaves out rows that are too large to be sent to many hosts, such as a configuration with a thousand routes", func() {
		m.Update([]record.Record{row("b", strings.Repeat("x", 200_000), 11)}, 11, at)
		for _, have := range []int64{0, 10} {
			d := changesSince(have)
			Expect(d.RowsOmitted).To(BeTrue())
			Expect(d.Rows).To(BeEmpty())
			Expect(d.Version).To(Equal(int64(11)))
		}
		Expect(changesSince(11).RowsOmitted).To(BeFalse())
	})

	It("keeps the copy of a host that asks at irregular intervals equal to the table", func() {
		rng := rand.New(rand.NewPCG(7, 7))
		want := map[string]string{"a": "1", "b": "1"}
		view, have := map[string]string{}, int64(0)
		version := int64(10)
		for range 8_000 {
			version++
			key := fmt.Sprint("k", rng.IntN(300))
			if _, ok := want[key]; ok && rng.IntN(3) == 0 {
				delete(want, key)
				m.Update([]record.Record{removed(key, version)}, version, at)
			} else {
				want[key] = fmt.Sprint(version)
				m.Update([]record.Record{row(key, want[key], version)}, version, at)
			}
			if rng.IntN(40) > 0 && (version < 1000 || version > 6000) {
				continue
			}
			d := changesSince(have)
			if d.IsSnapshot() {
				view = map[string]string{}
			}
			for _, r := range d.Rows {
				view[r.Key] = string(r.Value)
				if r.Deleted {
					delete(view, r.Key)
				}
			}
			have = d.Version
			Expect(view).To(Equal(want))
		}
	})
})
