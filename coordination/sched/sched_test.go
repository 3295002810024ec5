package sched_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/sched"
	"github.com/dragonflyroute/dragonflyroute/protocol/roles"
)

func TestPaces(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "paces")
}

var _ = Describe("Paces", func() {
	const drain = 3 * time.Second
	large := sched.Schedule{Hosts: 60, HostsRead: true, Drain: drain, Apply: drain}
	first := large
	first.NewSystem = true

	It("let every host of a small fleet read the tables itself, and only the head in a large one", func() {
		small := sched.Schedule{Hosts: 8, Drain: drain, Apply: drain, HostsRead: true}
		head := large
		head.Role = roles.Primary
		for _, p := range []sched.Schedule{small, head} {
			Expect(p.ReadDelay(drain, 0, true)).To(BeZero())
			Expect(p.HostsReadDelay(0, true)).To(BeZero())
		}
		Expect(large.ReadDelay(drain, 0, true)).To(BeNumerically(">", 0))
		Expect(large.HostsReadDelay(0, true)).To(BeNumerically(">", 0))
	})

	It("leave one second for an own read when no answer comes, and let second readers read before the others", func() {
		second := large
		second.Role = roles.Secondary
		Expect(large.ReadDelay(drain, 0, true)).To(BeNumerically("<=", drain-time.Second))
		Expect(second.ReadDelay(drain, 0, true)).To(BeNumerically("<", large.ReadDelay(drain, 0, true)))
		Expect(large.ReadDelay(drain, drain, true)).To(BeNumerically("<", 0))
		// Two polls and the head's own read lie between the table and the last host.
		Expect(large.ReadDelay(drain, 0, true)).To(BeNumerically(">", 2*large.PollInterval()+large.EndpointsPause()))
	})

	It("let a restarted host read at once, as all hosts may have been killed together", func() {
		Expect(large.ReadDelay(drain, 0, false)).To(BeZero())
		unlisted := large
		unlisted.Hosts, unlisted.HostsRead = 1, false
		Expect(unlisted.ReadDelay(drain, 0, false)).To(BeZero())
		Expect(unlisted.HostsReadDelay(0, false)).To(BeZero())
	})

	It("let hosts of a new system wait for a reader's answer, but not for long", func() {
		unlisted := first
		unlisted.Hosts, unlisted.HostsRead = 1, false
		Expect(unlisted.ReadDelay(drain, 0, false)).To(BeNumerically(">", 0))
		Expect(unlisted.ReadDelay(drain, time.Second, false)).To(BeNumerically("<", 0))
		Expect(first.ReadDelay(drain, 0, false)).To(BeNumerically(">", 0))
		Expect(first.ReadDelay(drain, 2*time.Second, false)).To(BeNumerically("<", 0))
		small := first
		small.Hosts = 6
		Expect(small.ReadDelay(drain, 0, false)).To(BeZero())
	})

	It("keep a head's view recent, and let other hosts read without a long poll", func() {
		head := large
		head.Role = roles.Primary
		Expect(head.OperatorWait()).To(And(BeNumerically(">", 0), BeNumerically("<", drain/2)))
		Expect(large.OperatorWait()).To(BeZero())
		Expect(large.HostsWait()).To(BeZero())
	})
})
