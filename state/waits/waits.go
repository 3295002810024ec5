// Package waits keeps how long callers usually wait for the first part of an answer.
package waits

import (
	"math"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

const (
	// usualShare is the share of the answers that begin within the usual wait.
	usualShare = 0.95
	// minAnswers is the number of answers from which a route's usual wait is known.
	minAnswers = 20
	// perDoubling is the number of classes for each doubling of the wait, and classes their number, from a millisecond up.
	perDoubling = 4
	classes     = 80
)

// Waits keeps, for each route, how long the answers took to begin. All methods may be called concurrently.
type Waits struct {
	mu     sync.Mutex
	routes map[label.Name]*histogram
}

// histogram counts waits by class; each class is 2^(1/perDoubling) times as long as the one before.
type histogram struct {
	counts [classes]int
	all    int
}

// Observe counts the wait for the first part of an answer of a route.
func (ws *Waits) Observe(route label.Name, wait time.Duration) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.routes == nil {
		ws.routes = map[label.Name]*histogram{}
	}
	h := ws.routes[route]
	if h == nil {
		h = &histogram{}
		ws.routes[route] = h
	}
	h.counts[class(wait)]++
	h.all++
}

// Usual returns the time within which nearly all answers of a route begin; ok is false while too few are known.
func (ws *Waits) Usual(route label.Name) (wait time.Duration, ok bool) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	h := ws.routes[route]
	if h == nil || h.all < minAnswers {
		return 0, false
	}
	seen := 0
	for i, n := range h.counts {
		if seen += n; float64(seen) >= usualShare*float64(h.all) {
			return upperEnd(i), true
		}
	}
	return upperEnd(classes - 1), true
}

// class returns the class of a wait.
func class(wait time.Duration) int {
	doublings := math.Log2(max(1, float64(wait)/float64(time.Millisecond)))
	return min(classes-1, int(perDoubling*doublings))
}

// upperEnd returns the longest wait of a class.
func upperEnd(class int) time.Duration {
	return time.Duration(math.Exp2(float64(class+1)/perDoubling) * float64(time.Millisecond))
}
