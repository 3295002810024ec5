package edits_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/edits"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

func TestEdits(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "edits")
}

// rows is a table that always answers.
type rows map[string]record.Record

func (r rows) Read(_ context.Context, key string) (record.Record, error) { return r[key], nil }

func (r rows) Commit(_ context.Context, t table.Txn) (int64, error) {
	for _, c := range t.Conds {
		if r[c.Key].Version != c.Version {
			return 0, nil
		}
	}
	version := int64(len(r) + 1000)
	for _, w := range t.Writes {
		delete(r, w.Key)
		if w.Value != nil {
			r[w.Key] = record.Record{Key: w.Key, Value: w.Value, Version: version}
		}
	}
	return version, nil
}

var _ = Describe("Edits", func() {
	It("keeps only the newest revisions in the history", func() {
		n, table, ctx := 0, rows{}, context.Background()
		e := &edits.Edits{Store: table, HistoryLimit: 6, Now: time.Now, NewID: func() string {
			n++
			return fmt.Sprint(n)
		}}
		for base := range int64(20) {
			_, err := e.Put(ctx, &catlog.Catalogue{Note: fmt.Sprint(base)}, base)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(table).To(HaveLen(6 + 1))
		for revision := int64(15); revision <= 20; revision++ {
			got, err := e.History(ctx, revision)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Revision).To(Equal(revision))
		}
		_, err := e.History(ctx, 14)
		Expect(fault.KindOf(err)).To(Equal(kind.NotFound))
	})
})
