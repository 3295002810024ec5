package leases_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/elect"
	"github.com/dragonflyroute/dragonflyroute/coordination/leases"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

func TestLeases(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "leases")
}

// rows is a table that always answers.
type rows map[string]record.Record

func (r rows) Read(_ context.Context, key string) (record.Record, error) { return r[key], nil }

func (r rows) Commit(_ context.Context, t table.Txn) (int64, error) {
	key := t.Writes[0].Key
	if r[key].Version != t.Conds[0].Version {
		return 0, nil
	}
	r[key] = record.Record{Key: key, Value: t.Writes[0].Value, Version: r[key].Version + 1}
	return r[key].Version, nil
}

var _ = Describe("Leases", func() {
	const key = "lease/test"
	var store rows
	var now time.Time
	ctx := context.Background()
	BeforeEach(func() { store, now = rows{}, time.Unix(1000, 0) })
	role := func(name host.ID, candidate bool) *leases.Leases {
		n := 0
		return &leases.Leases{Log: hclog.NewNullLogger(), Candidate: func(string) bool { return candidate }, New: func(key string) *elect.Elector {
			return &elect.Elector{Store: store, Key: key, Self: name, Incarnation: 1, Term: time.Hour, Now: func() time.Time { return now }, NewID: func() string {
				n++
				return fmt.Sprint(name, n)
			}}
		}}
	}
	acquires := func(l *leases.Leases) bool {
		_, held := l.Step(ctx, key)
		return held
	}

	It("are acquired only by candidates, and by one at a time", func() {
		a, b, idle := role("a", true), role("b", true), role("c", false)
		Expect(acquires(idle)).To(BeFalse())
		Expect(acquires(a)).To(BeTrue())
		Expect(acquires(b)).To(BeFalse())
		Expect([]bool{a.Eligible(key), b.Eligible(key), idle.Eligible(key)}).To(Equal([]bool{true, true, false}))
	})

	It("can be acquired by others at once after a release, with a higher fencing number", func() {
		a, b := role("a", true), role("b", true)
		first, _ := a.Step(ctx, key)
		a.Release(ctx, key)
		_, held := a.Held(key)
		Expect(held).To(BeFalse())
		second, held := b.Step(ctx, key)
		Expect(held).To(BeTrue())
		Expect(second).To(BeNumerically(">", first))
	})

	It("are all released by Close, and none is acquired after it", func() {
		a, b := role("a", true), role("b", true)
		Expect(acquires(a)).To(BeTrue())
		a.Close(ctx)
		Expect(acquires(a)).To(BeFalse())
		Expect(acquires(b)).To(BeTrue())
	})

	Describe("with calls under them", func() {
		noAnswer := fault.New(kind.OutcomeUnknown, "", "no answer")
		var a, b *leases.Leases
		var fence int64
		BeforeEach(func() {
			a, b = role("a", true), role("b", true)
			a.Term, a.Now = time.Hour, func() time.Time { return now }
			fence, _ = a.Step(ctx, key)
		})

		It("let no call begin with another fencing number, or after a release", func() {
			call := func() error { Fail("must not begin"); return nil }
			Expect(fault.KindOf(a.Use(key, fence+1, call))).To(Equal(kind.Unavailable))
			a.Release(ctx, key)
			Expect(fault.KindOf(a.Use(key, fence, call))).To(Equal(kind.Unavailable))
		})

		It("are not released while a call is in progress", func() {
			begun, end, released := make(chan struct{}), make(chan struct{}), make(chan struct{})
			var g sync.WaitGroup
			g.Go(func() {
				_ = a.Use(key, fence, func() error {
					close(begun)
					<-end
					return nil
				})
			})
			<-begun
			g.Go(func() {
				a.Close(ctx)
				close(released)
			})
			Consistently(released, "100ms").ShouldNot(BeClosed())
			Expect(acquires(b)).To(BeFalse())
			close(end)
			g.Wait()
			Expect(acquires(b)).To(BeTrue())
		})

		It("are left to expire when a call under them got no answer, as it may be carried out later", func() {
			Expect(a.Use(key, fence, func() error { return noAnswer })).To(MatchError(noAnswer))
			a.Close(ctx)
			Expect(acquires(b)).To(BeFalse())
			now = now.Add(time.Hour + time.Second)
			Expect(acquires(b)).To(BeTrue())
		})

		It("are lost at once when a renewal finds another holder's row", func() {
			row := store[key]
			store[key] = record.Record{Key: key, Value: []byte(`{"holder":"b","incarnation":2,"fence":9,"term-ms":3600000,"write-id":"x"}`), Version: row.Version + 1}
			Expect(acquires(a)).To(BeFalse())
		})
	})
})
