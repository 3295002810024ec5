package paces_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/coordination/paces"
	"github.com/dragonflyroute/dragonflyroute/protocol/roles"
)

func TestPaces(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "paces")
}

var _ = Describe("Paces", func() {
	const drain = 3 * time.Second
	large := paces.Paces{Hosts: 60, Listed: true, Drain: drain, Apply: drain}
	first := large
	first.First = true

	It("let every host of a small fleet read the tables itself, and only the head in a large one", func() {
		small := paces.Paces{Hosts: 8, Drain: drain, Apply: drain, Listed: true}
		head := large
		head.Role = roles.Head
		for _, p := range []paces.Paces{small, head} {
			Expect(p.Rest(drain, 0, true)).To(BeZero())
			Expect(p.HostsRest(0, true)).To(BeZero())
		}
		Expect(large.Rest(drain, 0, true)).To(BeNumerically(">", 0))
		Expect(large.HostsRest(0, true)).To(BeNumerically(">", 0))
	})

	It("leave one second for an own read when no answer comes, and let second readers read before the others", func() {
		second := large
		second.Role = roles.Second
		Expect(large.Rest(drain, 0, true)).To(BeNumerically("<=", drain-time.Second))
		Expect(second.Rest(drain, 0, true)).To(BeNumerically("<", large.Rest(drain, 0, true)))
		Expect(large.Rest(drain, drain, true)).To(BeNumerically("<", 0))
		// Two polls and the head's own read lie between the table and the last host.
		Expect(large.Rest(drain, 0, true)).To(BeNumerically(">", 2*large.Poll()+large.EndpointsPause()))
	})

	It("let a restarted host read at once, as all hosts may have been killed together", func() {
		Expect(large.Rest(drain, 0, false)).To(BeZero())
		unlisted := large
		unlisted.Hosts, unlisted.Listed = 1, false
		Expect(unlisted.Rest(drain, 0, false)).To(BeZero())
		Expect(unlisted.HostsRest(0, false)).To(BeZero())
	})

	It("let hosts of a new system wait for a reader's answer, but not for long", func() {
		unlisted := first
		unlisted.Hosts, unlisted.Listed = 1, false
		Expect(unlisted.Rest(drain, 0, false)).To(BeNumerically(">", 0))
		Expect(unlisted.Rest(drain, time.Second, false)).To(BeNumerically("<", 0))
		Expect(first.Rest(drain, 0, false)).To(BeNumerically(">", 0))
		Expect(first.Rest(drain, 2*time.Second, false)).To(BeNumerically("<", 0))
		small := first
		small.Hosts = 6
		Expect(small.Rest(drain, 0, false)).To(BeZero())
	})

	It("keep a head's view recent, and let other hosts read without a long poll", func() {
		head := large
		head.Role = roles.Head
		Expect(head.OperatorWait()).To(And(BeNumerically(">", 0), BeNumerically("<", drain/2)))
		Expect(large.OperatorWait()).To(BeZero())
		Expect(large.HostsWait()).To(BeZero())
	})
})
