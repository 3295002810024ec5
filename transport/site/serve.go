package site

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

const (
	// headerTimeout bounds the time in which a caller sends a request's headers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the idle time of connections where the operator sets no limit.
	idleTimeout = 5 * time.Minute
	// shortReadTimeout bounds the time in which an address question, a check or a read of the metrics arrives.
	shortReadTimeout = 5 * time.Second
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
)

// shortServer returns a server for short questions, whose bodies nobody reads.
func shortServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:        h,
		ReadTimeout:    shortReadTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       log.New(io.Discard, "", 0),
	}
}

// requestServer returns the server of callers' requests.
func (s *Site) requestServer() *http.Server {
	idle := &idleCloser{Limit: s.idleLimit}
	return &http.Server{
		Handler:           s.countInFlight(s.Front),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         idle.Note,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// idleLimit returns how long the operator lets callers' connections be idle, nought when it does not say.
func (s *Site) idleLimit() time.Duration {
	cfg := s.Policy.Rules()
	if cfg == nil {
		return 0
	}
	return cfg.IdleTime
}

// countInFlight counts the requests in progress.
func (s *Site) countInFlight(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// serve answers on a listener until ctx ends or the server is shut down.
func serve(ctx context.Context, server *http.Server, l net.Listener) error {
	g, inner := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-inner.Done()
		return server.Close()
	})
	g.Go(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			<-inner.Done()
			return nil
		}
		return fault.Wrap(kind.Unavailable, err, "serving on %s ended", l.Addr())
	})
	return g.Wait()
}

const (
	// shutdownLead is the time before the kill at which no more connections are taken.
	shutdownLead = 2500 * time.Millisecond
	// exitLead is the time before the kill at which the process ends, whatever runs.
	exitLead = 300 * time.Millisecond
)

// drain ends the process's work: address answers first, then leases, connections last.
func (s *Site) drain(ctx context.Context, server *http.Server) {
	kill := time.Now().Add(s.Grace)
	s.killAt.Store(kill.UnixNano())
	s.Log.Info("draining", "waiting", s.inFlight.Load(), "grace-ms", s.Grace.Milliseconds())
	ctx, cancel := context.WithDeadline(ctx, kill.Add(-exitLead))
	defer cancel()
	var g errgroup.Group
	g.Go(func() error {
		s.notifyPeers(ctx)
		return nil
	})
	g.Go(func() error {
		s.leases.Close(ctx)
		return nil
	})
	g.Go(func() error {
		s.join(ctx)
		return nil
	})
	_ = g.Wait()
	pause(ctx, time.Until(kill.Add(-shutdownLead)))
	err := server.Shutdown(ctx)
	s.Log.Info("drained", "waiting", s.inFlight.Load(), "cut", err != nil)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
