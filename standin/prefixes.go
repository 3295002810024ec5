package main

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// keptEvents bounds the cache events that can be asked for; older ones are lost.
	keptEvents = 1000

	storedEvent  = "BlockStored"
	removedEvent = "BlockRemoved"
	clearedEvent = "AllBlocksCleared"
)

// cacheEvent is one event of the prefix cache, with the names and fields that vLLM publishes.
type cacheEvent struct {
	Seq       uint64   `json:"seq"`
	Type      string   `json:"type"`
	ExtraKeys []string `json:"extra_keys"`

	at time.Time
}

// prefixes is a cache of prompts' prefixes in limited memory, least recently used first, that tells its changes.
type prefixes struct {
	size int

	mu     sync.Mutex
	recent []prefix
	seq    uint64
	events []cacheEvent
}

type prefix struct{ text, salt string }

// use reports whether the prefix is cached, and caches it.
func (p *prefixes) use(text, salt string, f *engineFaults) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.IndexFunc(p.recent, func(known prefix) bool { return known.text == text })
	if at >= 0 {
		p.recent = append(slices.Delete(p.recent, at, at+1), prefix{text: text, salt: salt})
		return true
	}
	p.recent = append(p.recent, prefix{text: text, salt: salt})
	p.tell(storedEvent, salt, f)
	if len(p.recent) > p.size {
		p.tell(removedEvent, p.recent[0].salt, f)
		p.recent = p.recent[1:]
	}
	return false
}

// clear drops all prefixes.
func (p *prefixes) clear(f *engineFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recent = nil
	p.tell(clearedEvent, "", f)
}

func (p *prefixes) tell(kind, salt string, f *engineFaults) {
	p.seq++
	if rand.Float64() < f.EventLoss {
		return
	}
	p.events = append(p.events, cacheEvent{Seq: p.seq, Type: kind, ExtraKeys: []string{salt}, at: time.Now()})
	p.events = p.events[max(0, len(p.events)-keptEvents):]
}

// since returns the events after a number that are at least as old as the lag, and the number of the newest of them.
func (p *prefixes) since(after uint64, lag time.Duration) (last uint64, out []cacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last = p.seq
	for _, e := range p.events {
		if time.Since(e.at) < lag {
			return max(min(after, p.seq), e.Seq-1), out
		}
		if e.Seq > after {
			out = append(out, e)
		}
	}
	return last, out
}

// events answers what changed in the cache.
func (e *engine) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a number", http.StatusBadRequest)
		return
	}
	last, events := e.cache.since(after, time.Duration(e.faults.Load().EventLagMS)*time.Millisecond)
	reply(w, map[string]any{"last": last, "events": events})
}
