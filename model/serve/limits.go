package serve

import (
	"fmt"

	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
)

func scale(id acct.ID) float64 {
	if id == floodAccount {
		return largeScale
	}
	return 1
}

// largeScale is the scale of the large account.
const largeScale = 4

// home returns the entry host that an account's request comes to.
func (s *Serve) home(id acct.ID) *entryHost {
	var n int
	_, _ = fmt.Sscanf(string(id), "account-%d", &n)
	return s.hosts[(n+s.rand.IntN(place.Homes(scale(id))))%len(s.hosts)]
}

// admitted asks the product's gate, and beside it one gate for the whole system, which is the oracle.
func (s *Serve) admitted(h *entryHost, id acct.ID, e *entry.Entry) func() {
	if s.Policy != Product {
		return func() {}
	}
	whole, wholeErr := s.central.Admit(id, scale(id), e, s.now)
	leave := s.enter(h, id, e)
	switch {
	case leave == nil && wholeErr == nil:
		s.RefusedWrongly++
		if s.burst == 1 && !s.flood {
			s.RefusedCalm++
		}
		whole()
		return nil
	case leave == nil || wholeErr != nil:
		return leave
	}
	return func() {
		leave()
		whole()
	}
}

// enter asks one host's gate, which borrows from the other hosts before its own part is used up.
func (s *Serve) enter(h *entryHost, id acct.ID, e *entry.Entry) func() {
	leave, err := h.gate.Admit(id, scale(id), e, s.now)
	if err != nil || h.quota.NeedsMore(id, e.Name, h.gate.Used(id, scale(id), e, s.now), s.now) {
		s.borrow(h, id, e)
	}
	if err == nil {
		return leave
	}
	if leave, err = h.gate.Admit(id, scale(id), e, s.now); err != nil {
		return nil
	}
	return leave
}

func (s *Serve) borrow(h *entryHost, id acct.ID, e *entry.Entry) {
	ask := loan.Loan{Account: id, Entry: e.Name, Host: h.quota.Self, Share: 0.9 / float64(len(s.hosts)*place.Homes(scale(id)))}
	for _, other := range s.hosts {
		if other != h {
			h.loans.Take(other.loans.Lend(ask, scale(id), e, s.now), scale(id), e, s.now, s.now)
		}
	}
}

// giveBack returns the loans that are not in use to their lenders, which get them a moment later.
func (s *Serve) giveBack() {
	for _, h := range s.hosts {
		for of, due := range h.quota.Expiring(s.now) {
			e := s.user.quick
			if of.Entry == s.user.long.Name {
				e = s.user.long
			}
			for _, back := range h.loans.ReleaseExpiring(due, scale(of.Account), e, s.now) {
				lender := s.lender(back.Host)
				back.Host = h.quota.Self
				s.after(returnTime, func() { lender.loans.Return(back, scale(of.Account), e, s.now) })
			}
		}
	}
	s.after(loanTerm/8, s.giveBack)
}

func (s *Serve) lender(id host.ID) *entryHost {
	for _, h := range s.hosts {
		if h.quota.Self == id {
			return h
		}
	}
	return nil
}
