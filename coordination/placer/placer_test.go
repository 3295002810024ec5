package placer_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/placer"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/grant"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

func TestPlacer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placer")
}

// prompt returns a request of a session.
func prompt(session uint64) *work.Request {
	w := &work.Request{Backend: "plume", Route: &path.Route{TargetLatency: time.Minute}, Deadline: time.Unix(1000, 0).Add(time.Hour), PromptTokens: 2_000}
	w.AddPart(session, 1_500)
	w.AddPart(session+1, 500)
	return w
}

// uncached returns a request of a session with a long prompt, of which most is not cached anywhere.
func uncached(session uint64) *work.Request {
	w := prompt(session)
	w.PromptTokens += 5_000
	return w
}

// answer has a request placed, answered and reported to its keeper.
func answer(p *placer.Placer, w *work.Request, all []*target.Target) grant.Grant {
	g, ok := p.Place(context.Background(), w, all, nil)
	Expect(ok).To(BeTrue())
	p.Begun(g, g.TimeToFirst, 0)
	p.Ended(g, false)
	p.Flush(context.Background())
	return g
}

var _ = Describe("Placer", func() {
	ctx := context.Background()

	It("has all hosts ask the same keeper for a session's requests, which sends them to where the prompt is cached", func() {
		s := newSim(1)
		_, placers, reg := s.newKeepers()
		all := reg.ByBackend("plume")
		first, ok := placers[0].Place(ctx, prompt(7), all, nil)
		Expect(ok).To(BeTrue())
		Expect(first.PrefillTokens).To(Equal(int64(2_000)))
		for _, p := range placers[1:] {
			s.now = s.now.Add(time.Second)
			placers[0].Begun(first, time.Second, 0)
			placers[0].Ended(first, false)
			g, _ := p.Place(ctx, prompt(7), all, nil)
			Expect(g.Keeper.Host).To(Equal(first.Keeper.Host))
			Expect(g.PrefillTokens).To(BeZero())
			p.Ended(g, false)
			p.Flush(ctx)
		}
	})

	// Guards against sessions that lose their cached prompts whenever an endpoint anywhere comes or goes.
	It("keeps nearly all sessions at their keepers while endpoints come and go", func() {
		s := newSim(1)
		_, placers, reg := s.newKeepers()
		moved := 0
		for session := uint64(2); session < 402; session += 2 {
			before, _ := placers[0].Place(ctx, prompt(session), reg.ByBackend("plume"), nil)
			after, _ := placers[0].Place(ctx, prompt(session), reg.ByBackend("plume")[20:], nil)
			if after.Keeper.Host != before.Keeper.Host {
				moved++
			}
		}
		Expect(moved).To(BeNumerically("<", 20))
	})

	It("sends no request to an excluded, cold or evacuated endpoint", func() {
		s := newSim(1)
		_, placers, reg := s.newKeepers()
		all := reg.ByBackend("plume")
		first, _ := placers[0].Place(ctx, prompt(7), all, nil)
		second, _ := placers[0].Place(ctx, prompt(7), all, []endpt.ID{first.Endpoint})
		Expect(second.Endpoint).NotTo(Equal(first.Endpoint))
		reg.Get(first.Endpoint).SetEvacuated(true)
		t := reg.Get(second.Endpoint)
		t.Warmup.Time = func() time.Duration { return time.Hour }
		t.Warmup.Interval = func() (time.Duration, bool) { return 0, true }
		t.Warmup.Announced(time.Hour, s.now)
		for range 50 {
			g, ok := placers[0].Place(ctx, prompt(7), all, nil)
			Expect(ok).To(BeTrue())
			Expect(g.Endpoint).NotTo(Or(Equal(first.Endpoint), Equal(second.Endpoint)))
		}
	})

	// Guards against requests that wait for a keeper that is down.
	It("leaves the choice to the host while the keeper does not answer, and asks it again later", func() {
		s := newSim(1)
		k, placers, reg := s.newKeepers()
		all := reg.ByBackend("plume")
		g, _ := placers[0].Place(ctx, prompt(7), all, nil)
		k.down[g.Keeper.Host] = true
		_, ok := placers[1].Place(ctx, prompt(7), all, nil)
		Expect(ok).To(BeFalse())
		asked := k.asked
		k.down[g.Keeper.Host] = false
		_, ok = placers[1].Place(ctx, prompt(7), all, nil)
		Expect(ok).To(BeFalse())
		Expect(k.asked).To(Equal(asked))
		s.now = s.now.Add(time.Second)
		_, ok = placers[1].Place(ctx, prompt(7), all, nil)
		Expect(ok).To(BeTrue())
	})

	// Guards against requests that no host sends but that fill an endpoint's book until their deadline.
	It("ends a request that the keeper placed too late", func() {
		s := newSim(1)
		k, placers, reg := s.newKeepers()
		all := reg.ByBackend("plume")
		first := answer(placers[0], prompt(7), all)
		k.late[first.Keeper.Host] = true
		_, ok := placers[1].Place(ctx, uncached(7), all, nil)
		Expect(ok).To(BeFalse())
		k.late[first.Keeper.Host] = false
		s.now = s.now.Add(500 * time.Millisecond)
		placers[1].Flush(ctx)
		g, _ := placers[2].Place(ctx, prompt(7), all, nil)
		Expect(g.Endpoint).To(Equal(first.Endpoint))
		Expect(g.AheadTokens).To(BeZero())
	})

	// Guards against requests that count as running until their deadline because a link was cut for a moment.
	It("tells a keeper again what it did not hear", func() {
		s := newSim(1)
		k, placers, reg := s.newKeepers()
		all := reg.ByBackend("plume")
		answer(placers[0], prompt(7), all)
		first, _ := placers[0].Place(ctx, uncached(7), all, nil)
		k.down[first.Keeper.Host] = true
		placers[0].Ended(first, false)
		placers[0].Flush(ctx)
		k.down[first.Keeper.Host] = false
		s.now = s.now.Add(500 * time.Millisecond)
		placers[0].Flush(ctx)
		g, _ := placers[1].Place(ctx, prompt(7), all, nil)
		Expect(g.Endpoint).To(Equal(first.Endpoint))
		Expect(g.AheadTokens).To(BeZero())
	})

	It("tells keepers what they have not heard yet when the process stops", func() {
		// Run may see either the end or the event first.
		for seed := range uint64(10) {
			s := newSim(seed)
			_, placers, reg := s.newKeepers()
			all := reg.ByBackend("plume")
			answer(placers[0], prompt(7), all)
			first, _ := placers[0].Place(ctx, uncached(7), all, nil)
			placers[0].Ended(first, false)
			stopped, cancel := context.WithCancel(ctx)
			cancel()
			Expect(placers[0].Run(stopped)).To(Succeed())
			g, _ := placers[1].Place(ctx, prompt(7), all, nil)
			Expect(g.Endpoint).To(Equal(first.Endpoint))
			Expect(g.AheadTokens).To(BeZero())
		}
	})

	// Guards against an endpoint that a keeper avoids for twice the time after a failure of one of its own requests.
	It("leaves failures of the keeper's own requests to those who send them", func() {
		s := newSim(1)
		_, placers, reg := s.newKeepers()
		all := reg.ByBackend("plume")
		first, _ := placers[0].Place(ctx, prompt(7), all, nil)
		for _, p := range placers {
			g, _ := p.Place(ctx, prompt(7), all, nil)
			p.Ended(g, true)
			p.Flush(ctx)
			n, _ := reg.Get(g.Endpoint).Failures(s.now)
			if p.Self == first.Keeper.Host {
				Expect(n).To(BeZero())
			} else {
				Expect(n).To(Equal(1))
			}
			reg.Get(g.Endpoint).RecordProgress(s.now)
		}
	})

	// Guards against a log that a rolling upgrade fills: hosts of the earlier version place no requests.
	It("logs once that a keeper does not answer", func() {
		s := newSim(1)
		k, placers, reg := s.newKeepers()
		all := reg.ByBackend("plume")
		g, _ := placers[0].Place(ctx, prompt(7), all, nil)
		k.down[g.Keeper.Host] = true
		var log bytes.Buffer
		placers[1].Log = hclog.New(&hclog.LoggerOptions{Output: &log})
		for range 5 {
			placers[1].Place(ctx, prompt(7), all, nil)
			s.now = s.now.Add(time.Second)
		}
		Expect(strings.Count(log.String(), "\n")).To(Equal(1))
	})

	// Guards against a small host in a large fleet that spends its time on the list of hosts.
	It("looks at the list of hosts once for the keepers of all shards, and again later", func() {
		s := newSim(1)
		_, placers, reg := s.newKeepers()
		all := reg.ByBackend("plume")
		live, looks := placers[0].Live, 0
		placers[0].Live = func(now time.Time) []beat.Heartbeat {
			looks++
			return live(now)
		}
		for session := range uint64(50) {
			placers[0].Place(ctx, prompt(2*session+1), all, nil)
		}
		Expect(looks).To(Equal(1))
		s.now = s.now.Add(200 * time.Millisecond)
		placers[0].Place(ctx, prompt(1), all, nil)
		Expect(looks).To(Equal(2))
	})

	It("asks the keeper of another shard as well if the answer would begin late", func() {
		s := newSim(1)
		_, placers, reg := s.newKeepers()
		all := reg.ByBackend("plume")
		var grants []grant.Grant
		for i := range 200 {
			w := prompt(7)
			w.Parts[1].Hash = uint64(100 + i)
			w.Route.TargetLatency = 100 * time.Millisecond
			g, ok := placers[0].Place(ctx, w, all, nil)
			Expect(ok).To(BeTrue())
			grants = append(grants, g)
		}
		kept := map[string]bool{}
		for _, g := range grants {
			kept[string(g.Keeper.Host)] = true
		}
		Expect(len(kept)).To(BeNumerically(">", 3))
	})

	It("places no request without a prompt, or at few endpoints", func() {
		s := newSim(1)
		_, placers, reg := s.newKeepers()
		_, ok := placers[0].Place(ctx, &work.Request{Backend: "plume", Route: &path.Route{}}, reg.ByBackend("plume"), nil)
		Expect(ok).To(BeFalse())
		_, ok = placers[0].Place(ctx, prompt(7), reg.ByBackend("plume")[:9], nil)
		Expect(ok).To(BeFalse())
	})
})
