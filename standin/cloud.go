package main

import (
	"net/http"

	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/scale"
)

// cloud accepts the desired host counts. It only records them and starts no hosts, because no process of the project
// starts another.
type cloud struct {
	offers  []offer.Offer
	desired map[string]scale.Desired
	// refused counts orders that were refused for a stale fencing number.
	refused int
}

func (p *platform) getOffers(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.cloud.offers) == 0 {
		http.Error(w, "no cloud offers", http.StatusNotFound)
		return
	}
	reply(w, p.cloud.offers)
}

func (p *platform) setOffers(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cloud.offers = nil
	if err := read(r, &p.cloud.offers); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, p.cloud.offers)
}

func (p *platform) setDesired(w http.ResponseWriter, r *http.Request) {
	var order scale.Desired
	if err := read(r, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := string(order.DataCentre) + "/" + string(order.Backend)
	if order.Fence < p.cloud.desired[key].Fence && !p.faults.IgnoreFence {
		p.cloud.refused++
		http.Error(w, "stale fencing number", http.StatusConflict)
		return
	}
	if p.cloud.desired == nil {
		p.cloud.desired = map[string]scale.Desired{}
	}
	p.cloud.desired[key] = order
	reply(w, order)
}

func (p *platform) getDesired(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply(w, map[string]any{"wishes": p.cloud.desired, "refused": p.cloud.refused})
}
