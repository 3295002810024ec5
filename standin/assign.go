package main

import (
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

// weights is a request to load other model weights, in the form of SGLang's update_weights_from_disk API.
type weights struct {
	ModelPath string `json:"model_path"`
}

// assign handles an order to serve a version. The engine is listed as leaving while it loads the weights, so that it gets
// no new requests and finishes the running ones, and as live with the new version afterwards.
func (e *engine) assign(w http.ResponseWriter, r *http.Request) {
	var order weights
	fence, err := strconv.ParseInt(r.Header.Get("X-Fencing-Number"), 10, 64)
	if err != nil || read(r, &order) != nil {
		http.Error(w, "malformed order", http.StatusBadRequest)
		return
	}
	version := label.Name(order.ModelPath)
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence < e.fence && !e.faults.Load().IgnoreFence {
		e.stats.OrdersRefused.Add(1)
		http.Error(w, "stale fencing number", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, fence)
	switch {
	case e.row.Loading == version, e.row.Loading == "" && e.row.Version == version:
	case e.row.State != roster.Live:
		http.Error(w, "busy: engine is loading or leaving", http.StatusServiceUnavailable)
		return
	default:
		e.stats.WeightLoads.Add(1)
		e.startLoad(version)
	}
	reply(w, order)
}

// startLoad starts loading a version. The caller holds e.mu.
func (e *engine) startLoad(version label.Name) {
	d := time.Duration(e.cmd.LoadMS) * time.Millisecond
	e.row.State = roster.Leaving
	e.row.Loading = version
	e.leaveAt = time.Now().Add(d)
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.reclaimed {
			return
		}
		e.row.State = roster.Live
		e.row.Version = version
		e.row.Loading = ""
		e.cache.clear(e.faults.Load())
	})
}
