// Package intake bounds the memory of request bodies, of which callers may send many at once and leave them unfinished.
package intake

import (
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/state/upload"
)

const (
	// smallBytes is the memory up to which a body counts as small, in bytes.
	smallBytes = 128 << 10
	// largeFraction is the fraction of the memory that bodies larger than that may fill; small ones may fill all of it.
	largeFraction = 0.75
	// addressFraction is the fraction of the memory that unfinished bodies from one address may fill.
	addressFraction = 0.5
	// minAge is how long a body may arrive before it can be aborted in favour of another one.
	minAge = time.Second
)

// Intake bounds the memory of request bodies. What counts is the memory reserved for the part of a body that has arrived, not
// the length that its caller declares. When the memory is used up, the slowest unfinished body is aborted first.
//
// The exported fields are set before its first use. All methods may be called concurrently.
type Intake struct {
	// Total returns the memory for request bodies, in bytes.
	Total func() int64
	// Now returns the current time.
	Now func() time.Time
	// Count adds to a counter of the process.
	Count func(name string, n int64)

	mu sync.Mutex
	// used is the memory reserved for all bodies, unfinished that for the unfinished ones by address.
	used       int64
	unfinished map[string]int64
	bodies     map[*upload.Upload]*body
}

// body is the state of one request body.
type body struct {
	began time.Time
	// reserved is the memory of the body and received the part of it that has arrived, in bytes.
	reserved, received int64
	complete, aborted  bool
}

// Begin adds a body, which must be removed with End.
func (i *Intake) Begin(u *upload.Upload) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.bodies == nil {
		i.bodies = map[*upload.Upload]*body{}
		i.unfinished = map[string]int64{}
	}
	i.bodies[u] = &body{began: i.Now()}
}

// Reserve reserves n more bytes for an unfinished body, for which it may abort slower ones. It reports whether the bytes are
// available.
func (i *Intake) Reserve(u *upload.Upload, n int64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.bodies[u]
	if b.aborted || !i.makeRoom(u, b, n) {
		i.Count("bodies_refused_total", 1)
		return false
	}
	b.reserved += n
	i.used += n
	i.unfinished[u.Address] += n
	return true
}

// Received records that n bytes of a body have arrived.
func (i *Intake) Received(u *upload.Upload, n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.bodies[u].received += int64(n)
}

// Complete records that a body is complete, so that it is not aborted any more. It reports false if it was before.
func (i *Intake) Complete(u *upload.Upload) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.bodies[u]
	if b.aborted {
		return false
	}
	b.complete = true
	i.leaveAddress(u, b)
	return true
}

// End removes a body, if it has begun, and releases its memory.
func (i *Intake) End(u *upload.Upload) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if b := i.bodies[u]; b != nil {
		i.release(u, b)
		delete(i.bodies, u)
	}
}

// AbortSlowest aborts the slowest unfinished body and reports whether there was one.
func (i *Intake) AbortSlowest() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.abortSlowest(func(*upload.Upload, *body) bool { return true })
}

// makeRoom aborts bodies until n more bytes for a body are within all bounds, and reports whether they are.
func (i *Intake) makeRoom(u *upload.Upload, b *body, n int64) bool {
	total := i.Total()
	ceiling := total
	if b.reserved+n > smallBytes {
		ceiling = int64(largeFraction * float64(total))
	}
	// A body that is alone is served whatever its size.
	for i.used > b.reserved && i.used+n > ceiling {
		if !i.abortSlowest(func(v *upload.Upload, other *body) bool { return v != u && other.reserved > 0 }) {
			return false
		}
	}
	share := int64(addressFraction * float64(total))
	for i.unfinished[u.Address] > b.reserved && i.unfinished[u.Address]+n > share {
		if !i.abortSlowest(func(v *upload.Upload, other *body) bool {
			return v != u && other.reserved > 0 && v.Address == u.Address
		}) {
			return false
		}
	}
	return true
}

// abortSlowest aborts the body that has arrived at the lowest rate among the unfinished ones that match, and reports whether
// there was one.
func (i *Intake) abortSlowest(matches func(u *upload.Upload, b *body) bool) bool {
	now := i.Now()
	var slowest *upload.Upload
	lowest := 0.0
	for u, b := range i.bodies {
		age := now.Sub(b.began)
		if b.complete || b.aborted || age < minAge || !matches(u, b) {
			continue
		}
		rate := float64(b.received) / age.Seconds()
		if slowest == nil || rate < lowest {
			slowest, lowest = u, rate
		}
	}
	if slowest == nil {
		return false
	}
	i.abort(slowest)
	return true
}

func (i *Intake) abort(u *upload.Upload) {
	b := i.bodies[u]
	i.release(u, b)
	b.aborted = true
	u.Abort()
	i.Count("bodies_aborted_total", 1)
}

// release releases the memory of a body.
func (i *Intake) release(u *upload.Upload, b *body) {
	i.used -= b.reserved
	if !b.complete {
		i.leaveAddress(u, b)
	}
	b.reserved = 0
}

// leaveAddress takes a body out of the unfinished ones of its address.
func (i *Intake) leaveAddress(u *upload.Upload, b *body) {
	i.unfinished[u.Address] -= b.reserved
	if i.unfinished[u.Address] <= 0 {
		delete(i.unfinished, u.Address)
	}
}
