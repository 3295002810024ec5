package watch_test

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/watch"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/state/mirror"
)

// restorable is a table that can be restored from a copy.
type restorable struct {
	era  eras.Era
	ver  int64
	rows map[string]record.Record
}

func (t *restorable) put(key, value string) {
	t.ver++
	t.rows[key] = record.Record{Key: key, Value: []byte(value), Version: t.ver}
}

func (t *restorable) copy() *restorable {
	out := &restorable{era: t.era, ver: t.ver, rows: map[string]record.Record{}}
	for key, r := range t.rows {
		out.rows[key] = r
	}
	return out
}

// restore brings back a copy.
func (t *restorable) restore(from *restorable) {
	t.era, t.ver, t.rows = t.era+1, from.ver, from.copy().rows
}

func (t *restorable) after(version int64) []record.Record {
	var out []record.Record
	for _, r := range t.rows {
		if r.Version > version {
			r.Version = t.era.Qualify(r.Version)
			out = append(out, r)
		}
	}
	return out
}

func (t *restorable) Snapshot(context.Context) ([]record.Record, int64, error) {
	return t.after(0), t.era.Qualify(t.ver), nil
}

func (t *restorable) Changes(_ context.Context, after int64, _ time.Duration) ([]record.Record, int64, time.Duration, error) {
	if eras.Of(after) != t.era {
		return nil, 0, 0, fault.New(kind.Conflict, "after", "restored")
	}
	return t.after(eras.Local(after)), t.era.Qualify(t.ver), 0, nil
}

// view is a host's copy of the table.
type view struct {
	*watch.Watcher
	rows       map[string]string
	recoveries int
}

func newView(t *restorable) *view {
	v := &view{rows: map[string]string{}}
	apply := func(rows []record.Record) {
		for _, r := range rows {
			v.rows[r.Key] = string(r.Value)
			if r.Deleted {
				delete(v.rows, r.Key)
			}
		}
	}
	v.Watcher = &watch.Watcher{
		Name: "t", Source: t, OnChanges: apply, Now: time.Now, Log: hclog.NewNullLogger(), Mirror: &mirror.Mirror{},
		OnSnapshot: func(rows []record.Record) {
			clear(v.rows)
			apply(rows)
		},
		OnRecovery: func(time.Duration, time.Duration) { v.recoveries++ },
	}
	return v
}

func (v *view) read() {
	for v.Read(context.Background()) != nil {
		// The first read after a restore finds it out, the second one reads a snapshot.
	}
}

var _ = Describe("Watcher of a table that is restored from a copy", func() {
	var (
		t    *restorable
		v    *view
		copy *restorable
	)
	BeforeEach(func() {
		t = &restorable{era: 1, rows: map[string]record.Record{}}
		t.put("kept", "1")
		copy = t.copy()
		t.put("lost", "1")
		t.put("lost", "2")
		v = newView(t)
		v.read()
	})

	// Guards against a host that misses changes which are given versions again that it had before the restore.
	It("has all rows, also once the versions have passed its own again", func() {
		t.restore(copy)
		t.put("a", "1")
		t.put("b", "1")
		t.put("c", "1")
		v.read()
		Expect(v.rows).To(Equal(map[string]string{"kept": "1", "a": "1", "b": "1", "c": "1"}))
	})

	It("reports the restore as a recovery before it applies the rows", func() {
		t.restore(copy)
		v.read()
		Expect(v.recoveries).To(BeNumerically(">=", 1))
	})

	// Guards against a host that takes the changes of the era before from another host for those of the present one.
	It("gets the whole table from another host that has read the restored one", func() {
		reader := newView(t)
		reader.read()
		t.restore(copy)
		t.put("a", "1")
		reader.read()
		d, ok := reader.ChangesSince(v.Version())
		Expect(ok).To(BeTrue())
		Expect(d.IsSnapshot()).To(BeTrue())
		Expect(d.RecoveredMillis).To(BeNumerically(">=", 0))
		Expect(v.Merge(&d, time.Now())).To(BeTrue())
		Expect(v.rows).To(Equal(map[string]string{"kept": "1", "a": "1"}))
		Expect(v.recoveries).To(BeNumerically(">=", 1))
	})

	It("ignores another host that has not heard of the restore", func() {
		reader := newView(t)
		t.put("lost", "3")
		reader.read()
		t.restore(copy)
		v.read()
		d, _ := reader.ChangesSince(v.Version())
		Expect(v.Merge(&d, time.Now())).To(BeFalse())
		Expect(v.rows).To(Equal(map[string]string{"kept": "1"}))
	})

	It("follows two restores that follow each other closely", func() {
		t.restore(copy)
		t.put("a", "1")
		v.read()
		second := t.copy()
		t.put("a", "2")
		v.read()
		t.restore(second)
		t.put("b", "1")
		v.read()
		Expect(v.rows).To(Equal(map[string]string{"kept": "1", "a": "1", "b": "1"}))
	})

	It("goes on with changes after that", func() {
		t.restore(copy)
		v.read()
		t.put("a", "1")
		v.read()
		d, _ := v.ChangesSince(t.era.Qualify(t.ver - 1))
		Expect(d).To(HaveField("Rows", HaveLen(1)))
		Expect(v.rows).To(HaveKeyWithValue("a", "1"))
	})
})
