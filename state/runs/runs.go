// Package runs holds the model requests that a process is running and those handed over to it by peers.
package runs

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
)

type acceptedTicket struct {
	ticket  ticket.Ticket
	expires time.Time
}

// Runs holds running requests by id, and the tickets that peers handed over.
//
// All methods may be called concurrently.
type Runs struct {
	// TTL is how long a ticket that was handed over is kept for its caller to reconnect.
	TTL time.Duration
	// Max bounds the tickets that were handed over and not yet taken.
	Max int

	mu       sync.Mutex
	running  map[string]func() ticket.Ticket
	accepted map[string]acceptedTicket
}

// Begin registers a running request; snapshot returns its current ticket. It reports false when the id is already
// registered.
func (r *Runs) Begin(id string, snapshot func() ticket.Ticket) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = map[string]func() ticket.Ticket{}
	}
	if r.running[id] != nil {
		return false
	}
	r.running[id] = snapshot
	return true
}

// End removes a running request.
func (r *Runs) End(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, id)
}

// Running returns the number of running requests.
func (r *Runs) Running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.running)
}

// Tickets returns the tickets of all running requests.
func (r *Runs) Tickets() []ticket.Ticket {
	r.mu.Lock()
	snapshots := make([]func() ticket.Ticket, 0, len(r.running))
	for _, s := range r.running {
		snapshots = append(snapshots, s)
	}
	r.mu.Unlock()
	var out []ticket.Ticket
	for _, s := range snapshots {
		out = append(out, s())
	}
	return out
}

// Accept stores a ticket that a peer handed over; it reports false when the process holds Max tickets already.
func (r *Runs) Accept(t ticket.Ticket, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted == nil {
		r.accepted = map[string]acceptedTicket{}
	}
	for id, a := range r.accepted {
		if now.After(a.expires) {
			delete(r.accepted, id)
		}
	}
	if len(r.accepted) >= r.Max {
		return false
	}
	r.accepted[t.ID] = acceptedTicket{ticket: t, expires: now.Add(r.TTL)}
	return true
}

// Take removes and returns the ticket of a request that was handed over, if it is that of the claimant. It reports false
// when there is none, it has expired, or it belongs to another claimant, for whom it stays.
func (r *Runs) Take(id string, now time.Time, claimed func(t ticket.Ticket) bool) (ticket.Ticket, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.accepted[id]
	if !ok || now.After(a.expires) || !claimed(a.ticket) {
		return ticket.Ticket{}, false
	}
	delete(r.accepted, id)
	return a.ticket, true
}
