package main

import (
	"net/http"

	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/scale"
)

// cloud takes orders for hosts; it starts none, because no process starts another.
type cloud struct {
	offers []offer.Offer
	wishes map[string]scale.Desired
	// refused counts orders with an old fencing number.
	refused int
}

func (p *platform) getOffers(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.cloud.offers) == 0 {
		http.Error(w, "no cloud", http.StatusNotFound)
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

func (p *platform) wish(w http.ResponseWriter, r *http.Request) {
	var order scale.Desired
	if err := read(r, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	at := string(order.DataCentre) + "/" + string(order.Backend)
	if order.Fence < p.cloud.wishes[at].Fence && !p.faults.IgnoreFence {
		p.cloud.refused++
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if p.cloud.wishes == nil {
		p.cloud.wishes = map[string]scale.Desired{}
	}
	p.cloud.wishes[at] = order
	reply(w, order)
}

func (p *platform) getWishes(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply(w, map[string]any{"wishes": p.cloud.wishes, "refused": p.cloud.refused})
}
