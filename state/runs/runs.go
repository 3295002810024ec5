// Package runs keeps the model requests that a process has running or was handed.
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

// Runs keeps running requests by id, and the tickets that peers handed over.
//
// All methods may be called concurrently.
type Runs struct {
	// Keep is how long a handed ticket waits for its caller.
	Keep time.Duration
	// Max bounds the handed tickets.
	Max int

	mu      sync.Mutex
	running map[string]func() ticket.Ticket
	handed  map[string]handed
}

// Begin registers a running request; snapshot returns its ticket at any time.
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

// End forgets a running request.
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

// Accept keeps a ticket that a peer handed over; it reports false when the process holds too many.
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
	r.handed[t.ID] = handed{ticket: t, expires: now.Add(r.Keep)}
	return true
}

// Take removes and returns the ticket of a request that was handed over.
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
