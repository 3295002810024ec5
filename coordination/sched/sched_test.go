package sched_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/sched"
	"github.com/dragonflyroute/dragonflyroute/protocol/roles"
)

func TestSchedule(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sched")
}

var _ = Describe("Schedule", func() {
	const drain = 3 * time.Second
	large := sched.Schedule{Hosts: 60, HostsRead: true, Drain: drain, Apply: drain}
	first := large
	first.NewSystem = true

	It("lets every host of a small fleet read the tables itself, and only the primary reader in a large one", func() {
		small := sched.Schedule{Hosts: 8, Drain: drain, Apply: drain, HostsRead: true}
		primary := large
		primary.Role = roles.Primary
		for _, s := range []sched.Schedule{small, primary} {
			Expect(s.ReadDelay(drain, 0, true)).To(BeZero())
			Expect(s.HostsReadDelay(0, true)).To(BeZero())
		}
		Expect(large.ReadDelay(drain, 0, true)).To(BeNumerically(">", 0))
		Expect(large.HostsReadDelay(0, true)).To(BeNumerically(">", 0))
	})

	It("leaves one second for an own read when no answer comes, and lets secondary readers read before the others", func() {
		second := large
		second.Role = roles.Secondary
		Expect(large.ReadDelay(drain, 0, true)).To(BeNumerically("<=", drain-time.Second))
		Expect(second.ReadDelay(drain, 0, true)).To(BeNumerically("<", large.ReadDelay(drain, 0, true)))
		Expect(large.ReadDelay(drain, drain, true)).To(BeNumerically("<", 0))
		// Two polls and the primary's own read lie between the table and the last host.
		Expect(large.ReadDelay(drain, 0, true)).To(BeNumerically(">", 2*large.PollInterval()+large.EndpointsPause()))
	})

	It("lets a restarted host read at once, as all hosts may have been killed together", func() {
		Expect(large.ReadDelay(drain, 0, false)).To(BeZero())
		unlisted := large
		unlisted.Hosts, unlisted.HostsRead = 1, false
		Expect(unlisted.ReadDelay(drain, 0, false)).To(BeZero())
		Expect(unlisted.HostsReadDelay(0, false)).To(BeZero())
	})

	It("lets hosts of a new system wait for a reader's answer, but not for long", func() {
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

	// Guards against a long poll whose answer is lost and that hides a configuration for longer than a host may take that
	// reaches the store again.
	It("leaves time for a read after a lost long poll of the operator's table", func() {
		const contact, timeoutMargin, backoff = 3 * time.Second, 700 * time.Millisecond, 200 * time.Millisecond
		small := sched.Schedule{Hosts: 8, Drain: drain, Apply: drain, HostsRead: true, Contact: contact}
		Expect(small.OperatorWait()).To(BeNumerically(">", 0))
		Expect(small.OperatorWait() + timeoutMargin + backoff).To(BeNumerically("<", contact-backoff))
	})

	It("keeps the primary reader's view recent, and lets other hosts read without a long poll", func() {
		primary := large
		primary.Role = roles.Primary
		Expect(primary.OperatorWait()).To(And(BeNumerically(">", 0), BeNumerically("<", drain/2)))
		Expect(large.OperatorWait()).To(BeZero())
		Expect(large.HostsWait()).To(BeZero())
	})
})
