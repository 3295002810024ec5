package syncer_test

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/syncer"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/state/endreg"
)

// decodeStarted decodes a row made by started.
func decodeStarted(id string, data []byte) (roster.Row, error) {
	state, start, _ := strings.Cut(string(data), " ")
	millis, err := strconv.ParseInt(start, 10, 64)
	return roster.Row{ID: endpt.ID(id), Address: id, Backend: "plume", State: state, StartMillis: millis}, err
}

var _ = Describe("Syncer of a list that is restored from a copy", func() {
	const expiry = 4 * time.Second
	var (
		s        *syncer.Syncer
		registry *endreg.Registry
		now      time.Time
	)
	row := func(era eras.Era, version int64, id, state string, start int) record.Record {
		return record.Record{Key: id, Value: fmt.Appendf(nil, "%s %d", state, start), Version: era.Qualify(version)}
	}
	usable := func(id endpt.ID) bool {
		t := registry.Get(id)
		return t != nil && !t.Leaving()
	}
	restore := func(rows ...record.Record) {
		s.Recovered(0, 0)
		s.Replace(rows)
	}
	BeforeEach(func() {
		registry, now = &endreg.Registry{}, time.Unix(1000, 0)
		s = &syncer.Syncer{Registry: registry, Decode: decodeStarted, Expiry: expiry, Now: func() time.Time { return now }, Log: hclog.NewNullLogger()}
		s.Replace([]record.Record{row(1, 1, "a", roster.Live, 10), row(1, 2, "b", roster.Live, 10)})
	})

	// Guards against requests to an endpoint that has left and whose row returns with the copy.
	It("does not use an endpoint that has left, though its row returns", func() {
		s.Apply([]record.Record{row(1, 5, "b", roster.Leaving, 10)})
		s.Apply([]record.Record{{Key: "b", Version: eras.Era(1).Qualify(6), Deleted: true}})
		restore(row(2, 1, "a", roster.Live, 10), row(2, 2, "b", roster.Live, 10))
		Expect(usable("b")).To(BeFalse())
		now = now.Add(expiry - time.Millisecond)
		s.Expire()
		Expect(usable("b")).To(BeFalse())
		s.Apply([]record.Record{{Key: "b", Version: eras.Era(2).Qualify(9), Deleted: true}})
		now = now.Add(time.Second)
		s.Expire()
		Expect(usable("b")).To(BeFalse())
		Expect(usable("a")).To(BeTrue())
	})

	It("keeps an endpoint leaving that had announced it, though its row returns as before", func() {
		s.Apply([]record.Record{row(1, 5, "b", roster.Leaving, 10)})
		restore(row(2, 1, "a", roster.Live, 10), row(2, 2, "b", roster.Live, 10))
		Expect(usable("b")).To(BeFalse())
	})

	It("uses an endpoint again that writes its row again", func() {
		s.Apply([]record.Record{{Key: "b", Version: eras.Era(1).Qualify(6), Deleted: true}})
		restore(row(2, 1, "a", roster.Live, 10), row(2, 2, "b", roster.Live, 10))
		s.Apply([]record.Record{row(2, 7, "b", roster.Live, 10)})
		Expect(usable("b")).To(BeTrue())
	})

	It("uses an endpoint again whose row is still there when the platform would have removed it", func() {
		s.Apply([]record.Record{{Key: "b", Version: eras.Era(1).Qualify(6), Deleted: true}})
		restore(row(2, 1, "a", roster.Live, 10), row(2, 2, "b", roster.Live, 10))
		now = now.Add(expiry)
		s.Expire()
		Expect(usable("b")).To(BeTrue())
	})

	// Guards against requests to the address that an endpoint had before its restart.
	It("keeps the newer start of an endpoint whose row of an earlier start returns", func() {
		s.Apply([]record.Record{row(1, 5, "b", roster.Live, 20)})
		restore(row(2, 1, "a", roster.Live, 10), row(2, 2, "b", roster.Live, 10))
		Expect(registry.Get("b").Row().StartMillis).To(Equal(int64(20)))
		s.Apply([]record.Record{row(2, 7, "b", roster.Live, 20)})
		now = now.Add(expiry)
		s.Expire()
		Expect(usable("b")).To(BeTrue())
		Expect(registry.Get("b").Row().StartMillis).To(Equal(int64(20)))
	})

	It("keeps an endpoint that the copy lacks until it has had the time to write its row again", func() {
		s.Apply([]record.Record{row(1, 5, "c", roster.Live, 10)})
		restore(row(2, 1, "a", roster.Live, 10), row(2, 2, "b", roster.Live, 10))
		Expect(usable("c")).To(BeTrue())
		now = now.Add(time.Second)
		s.Apply([]record.Record{row(2, 3, "c", roster.Live, 10)})
		now = now.Add(time.Second)
		s.Expire()
		Expect(usable("c")).To(BeTrue())
	})

	It("uses all rows of the list when the era is the same", func() {
		s.Apply([]record.Record{{Key: "b", Version: eras.Era(1).Qualify(6), Deleted: true}})
		restore(row(1, 7, "a", roster.Live, 10), row(1, 8, "b", roster.Live, 10))
		Expect(usable("b")).To(BeTrue())
	})
})
