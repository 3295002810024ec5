package serve

import (
	"fmt"

	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/host"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
)

// accountScale returns an account's multiple of the entry's limits.
func accountScale(id acct.ID) float64 {
	if id == floodAccount {
		return largeAccountScale
	}
	return 1
}

// largeAccountScale is the large account's multiple of the entry's limits.
const largeAccountScale = 4

// entryHostFor draws one of the entry hosts that serve an account.
func (s *Simulation) entryHostFor(id acct.ID) *entryHost {
	var n int
	_, _ = fmt.Sscanf(string(id), "account-%d", &n)
	return s.hosts[(n+s.rand.IntN(place.Homes(accountScale(id))))%len(s.hosts)]
}

// admit returns the function that releases the request's admission, or nil if the entry host's gate refuses it. A
// central gate that counts all requests decides too, to count the requests that are refused only because limits are
// divided between entry hosts.
func (s *Simulation) admit(h *entryHost, id acct.ID, e *entry.Entry) func() {
	if s.Policy != Product {
		return func() {}
	}
	releaseCentral, centralErr := s.centralGate.Admit(id, accountScale(id), e, s.now)
	release := s.admitLocally(h, id, e)
	switch {
	case release == nil && centralErr == nil:
		s.RefusedWrongly++
		if s.rateFactor == 1 && !s.flooding {
			s.RefusedWronglySteady++
		}
		releaseCentral()
		return nil
	case release == nil || centralErr != nil:
		return release
	}
	return func() {
		release()
		releaseCentral()
	}
}

// admitLocally applies the entry host's own gate. It borrows from the other entry hosts when the gate refuses the
// request or its share is almost used up.
func (s *Simulation) admitLocally(h *entryHost, id acct.ID, e *entry.Entry) func() {
	release, err := h.gate.Admit(id, accountScale(id), e, s.now)
	if err != nil || h.quota.NeedsMore(id, e.Name, h.gate.Used(id, accountScale(id), e, s.now), s.now) {
		s.borrow(h, id, e)
	}
	if err == nil {
		return release
	}
	if release, err = h.gate.Admit(id, accountScale(id), e, s.now); err != nil {
		return nil
	}
	return release
}

// borrow requests a loan of the account's limits from every other entry host.
func (s *Simulation) borrow(h *entryHost, id acct.ID, e *entry.Entry) {
	request := loan.Loan{Account: id, Entry: e.Name, Host: h.quota.Self, Share: 0.9 / float64(len(s.hosts)*place.Homes(accountScale(id)))}
	for _, other := range s.hosts {
		if other != h {
			h.loans.Take(other.loans.Lend(request, accountScale(id), e, s.now), accountScale(id), e, s.now, s.now)
		}
	}
}

// returnLoans returns expiring loans that aren't in use to their lenders, with a delay of loanReturnTime.
func (s *Simulation) returnLoans() {
	for _, h := range s.hosts {
		for key, due := range h.quota.Expiring(s.now) {
			e := s.user.quick
			if key.Entry == s.user.long.Name {
				e = s.user.long
			}
			for _, returned := range h.loans.ReleaseExpiring(due, accountScale(key.Account), e, s.now) {
				lender := s.lender(returned.Host)
				returned.Host = h.quota.Self
				s.after(loanReturnTime, func() { lender.loans.Return(returned, accountScale(key.Account), e, s.now) })
			}
		}
	}
	s.after(loanTerm/8, s.returnLoans)
}

func (s *Simulation) lender(id host.ID) *entryHost {
	for _, h := range s.hosts {
		if h.quota.Self == id {
			return h
		}
	}
	return nil
}
