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
	joinPeriod  = 500 * time.Millisecond
	joinTimeout = time.Second
)

// serve answers on address until ctx ends, beside the given part.
func serve(ctx context.Context, address string, h http.Handler, parts ...func(ctx context.Context) error) error {
	s := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: joinTimeout}
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
	for _, part := range parts {
		g.Go(func() error { return part(ctx) })
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

// endpoint is what engines and services share: a row on the platform's list, and reclaims.
type endpoint struct {
	platform string
	mu       sync.Mutex
	row      roster.Row
	leaveAt  time.Time
	// reclaimed tells that the host is taken back after leaveAt.
	reclaimed bool
}

// join keeps the endpoint on the platform's list until ctx ends.
func (e *endpoint) join(ctx context.Context) error {
	ticker := time.NewTicker(joinPeriod)
	defer ticker.Stop()
	for {
		e.tell(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (e *endpoint) tell(ctx context.Context) {
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
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.platform+"/hosts", bytes.NewReader(data))
	if err != nil {
		return
	}
	if w, err := http.DefaultClient.Do(r); err == nil {
		_ = w.Body.Close()
	}
}

// reclaim gives notice: the process ends without a further word when the notice is over.
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
	e.tell(r.Context())
	reply(w, order)
}
