package main

import (
	"context"
	"sync"
)

// queue gives the batch's slots to requests by priority; a long one gives its slot to a waiting quick one.
type queue struct {
	slots int

	mu      sync.Mutex
	changed chan struct{}
	active  map[int]int
	waiting map[int]int
}

func (q *queue) init() {
	q.changed = make(chan struct{})
	q.active = map[int]int{}
	q.waiting = map[int]int{}
}

func (q *queue) total() int {
	n := 0
	for _, c := range q.active {
		n += c
	}
	return n
}

func (q *queue) running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.total()
}

func (q *queue) count(priority int) (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.active[priority], q.waiting[priority]
}

func (q *queue) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// sooner reports whether a request of a lower number waits.
func (q *queue) sooner(priority int) bool {
	for p, n := range q.waiting {
		if p < priority && n > 0 {
			return true
		}
	}
	return false
}

func (q *queue) enter(ctx context.Context, priority int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[priority]++
	defer func() { q.waiting[priority]-- }()
	for q.total() >= q.slots || q.sooner(priority) {
		changed := q.changed
		q.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		q.mu.Lock()
		if ctx.Err() != nil {
			return false
		}
	}
	q.active[priority]++
	return true
}

func (q *queue) leave(priority int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.active[priority]--
	q.notify()
}

// yield gives the slot up while a sooner request waits; false means that the caller has gone, with the slot kept.
func (q *queue) yield(ctx context.Context, priority int) bool {
	q.mu.Lock()
	sooner := q.sooner(priority)
	q.mu.Unlock()
	if !sooner {
		return true
	}
	q.leave(priority)
	if q.enter(ctx, priority) {
		return true
	}
	q.mu.Lock()
	q.active[priority]++
	q.mu.Unlock()
	return false
}
