package main

import (
	"context"
	"sync"
)

// queue assigns the slots of the batch to requests by priority; a lower number is a higher priority. A running request
// yields its slot to a waiting one of higher priority.
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

// activeTotal returns the number of running requests. The caller holds q.mu.
func (q *queue) activeTotal() int {
	n := 0
	for _, c := range q.active {
		n += c
	}
	return n
}

func (q *queue) running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.activeTotal()
}

func (q *queue) count(priority int) (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.active[priority], q.waiting[priority]
}

// notify wakes all waiting requests. The caller holds q.mu.
func (q *queue) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// higherWaiting reports whether a request of higher priority (a lower number) is waiting.
func (q *queue) higherWaiting(priority int) bool {
	for p, n := range q.waiting {
		if p < priority && n > 0 {
			return true
		}
	}
	return false
}

// acquire waits for a slot and reports whether it got one before ctx ended.
func (q *queue) acquire(ctx context.Context, priority int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[priority]++
	defer func() { q.waiting[priority]-- }()
	for q.activeTotal() >= q.slots || q.higherWaiting(priority) {
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

func (q *queue) release(priority int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.active[priority]--
	q.notify()
}

// yield releases the slot while a request of higher priority waits, and acquires one again. It reports false if ctx ended
// meanwhile; the request still counts as active then, so the caller releases the slot in either case.
func (q *queue) yield(ctx context.Context, priority int) bool {
	q.mu.Lock()
	higher := q.higherWaiting(priority)
	q.mu.Unlock()
	if !higher {
		return true
	}
	q.release(priority)
	if q.acquire(ctx, priority) {
		return true
	}
	q.mu.Lock()
	q.active[priority]++
	q.mu.Unlock()
	return false
}
