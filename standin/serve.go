package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

const (
	registerPeriod = 500 * time.Millisecond
	requestTimeout = time.Second
)

// serve serves h on address and runs the given tasks until ctx ends or one of them fails.
func serve(ctx context.Context, address string, h http.Handler, tasks ...func(ctx context.Context) error) error {
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: requestTimeout}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return s.Close()
	})
	g.Go(func() error {
		if err := s.ListenAndServe(); err != http.ErrServerClosed {
			return fault.Wrap(kind.Unavailable, err, "listen on %s", address)
		}
		return nil
	})
	for _, task := range tasks {
		g.Go(func() error { return task(ctx) })
	}
	return g.Wait()
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func read(r *http.Request, v any) error {
	return json.NewDecoder(r.Body).Decode(v)
}

// endpoint is the part that engines and services share: registration in the platform's host list, and reclaim notices.
type endpoint struct {
	platform string
	mu       sync.Mutex
	row      roster.Row
	// leaveAt is the time at which an endpoint in state leaving exits or, while it loads weights, is live again.
	leaveAt time.Time
	// reclaimed is set by a reclaim notice; the process then exits at leaveAt.
	reclaimed bool
}

// keepRegistered registers the endpoint with the platform every registerPeriod until ctx ends.
func (e *endpoint) keepRegistered(ctx context.Context) error {
	ticker := time.NewTicker(registerPeriod)
	defer ticker.Stop()
	for {
		e.register(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// register posts the endpoint's row to the platform's host list. Errors are ignored, as the next period tries again.
func (e *endpoint) register(ctx context.Context) {
	e.mu.Lock()
	row := e.row
	if row.State == roster.Leaving {
		row.NoticeMillis = max(0, time.Until(e.leaveAt).Milliseconds())
	}
	e.mu.Unlock()
	data, err := json.Marshal(row)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.platform+"/hosts", bytes.NewReader(data))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(r); err == nil {
		_ = resp.Body.Close()
	}
}

// reclaim handles a reclaim notice: the endpoint is listed as leaving, and the process exits when the notice period is
// over, whatever requests are running.
func (e *endpoint) reclaim(w http.ResponseWriter, r *http.Request) {
	var order struct {
		NoticeMillis int64 `json:"notice-ms"`
	}
	if err := read(r, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	notice := time.Duration(order.NoticeMillis) * time.Millisecond
	e.mu.Lock()
	e.reclaimed = true
	e.row.State = roster.Leaving
	e.row.Loading = ""
	e.leaveAt = time.Now().Add(notice)
	e.mu.Unlock()
	time.AfterFunc(notice, func() { os.Exit(0) })
	e.register(r.Context())
	reply(w, order)
}
