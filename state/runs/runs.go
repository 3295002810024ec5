// Package runs holds the model requests that a process is running and those handed over to it by peers.
package runs

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
)

type handed struct {
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

	mu      sync.Mutex
	running map[string]func() ticket.Ticket
	handed  map[string]handed
}

// Begin registers a running request, whose current ticket snapshot returns. It reports false when the id is already
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
	if r.handed == nil {
		r.handed = map[string]handed{}
	}
	for id, h := range r.handed {
		if now.After(h.expires) {
			delete(r.handed, id)
		}
	}
	if len(r.handed) >= r.Max {
		return false
	}
	r.handed[t.ID] = handed{ticket: t, expires: now.Add(r.TTL)}
	return true
}

// Take removes and returns the ticket of a request that was handed over. It reports false when there is none or it has
// expired.
func (r *Runs) Take(id string, now time.Time) (ticket.Ticket, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, ok := r.handed[id]
	delete(r.handed, id)
	if !ok || now.After(h.expires) {
		return ticket.Ticket{}, false
	}
	return h.ticket, true
}
