package site

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/transport/idle"
)

const (
	// headerTimeout bounds the time until a request's headers have arrived.
	headerTimeout = 10 * time.Second
	// idleTimeout is the idle timeout of connections. Callers' connections are closed earlier if the operator's idle
	// timeout is shorter.
	idleTimeout = 5 * time.Minute
	// keepAliveMargin is how much earlier than the idle timeout callers are told to stop using a connection: the time that a
	// request may be on its way.
	keepAliveMargin = time.Second
	// gaugeInterval is the time between updates of the gauges.
	gaugeInterval = time.Second
	// shortReadTimeout bounds the time until an address look-up, a readiness check or a request for metrics has arrived.
	shortReadTimeout = 5 * time.Second
	// shortWriteTimeout bounds the time until the answer to such a request is written.
	shortWriteTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request's headers.
	maxHeaderBytes = 64 << 10
)

// serveShort returns a task that serves short requests without a body on a listener, which may have a share of the connections.
func (s *Site) serveShort(h http.Handler, l net.Listener, share connectionShare) func(ctx context.Context) error {
	conns := &idle.Closer{}
	s.boundConnections(conns, share)
	server := &http.Server{
		Handler:        withoutBody(h),
		ReadTimeout:    shortReadTimeout,
		WriteTimeout:   shortWriteTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      conns.ConnState,
		ErrorLog:       log.New(io.Discard, "", 0),
	}
	return func(ctx context.Context) error { return serve(ctx, server, conns.Listener(l)) }
}

// withoutBody closes the connection of a request with a body once it is answered, so that the body is not read.
func withoutBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != http.NoBody {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// requestServer returns the server for callers' requests, which closes idle connections by s.idle.
func (s *Site) requestServer() *http.Server {
	return &http.Server{
		Handler:           s.countInFlight(s.announceIdleLimit(s.RequestHandler)),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         s.idle.ConnState,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
}

// idleLimit returns the operator's idle timeout of callers' connections, 0 for none.
func (s *Site) idleLimit() time.Duration {
	cfg := s.Policy.Rules()
	if cfg == nil {
		return 0
	}
	return cfg.IdleTimeout
}

// announceIdleLimit names the operator's idle timeout in each answer, so that callers do not send a request on a connection
// that is about to be closed. A draining host closes its connections in any case.
func (s *Site) announceIdleLimit(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if seconds := int((s.idleLimit() - keepAliveMargin) / time.Second); seconds > 0 {
			w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
		}
		h.ServeHTTP(w, r)
	})
}

// countInFlight counts the requests in flight.
func (s *Site) countInFlight(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// serve accepts connections on a listener until ctx ends or the listener is closed; it returns an Unavailable error if the
// listener fails.
func serve(ctx context.Context, server *http.Server, l net.Listener) error {
	g, inner := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-inner.Done()
		return server.Close()
	})
	g.Go(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			<-inner.Done()
			return nil
		}
		return fault.Wrap(kind.Unavailable, err, "server on %s stopped", l.Addr())
	})
	return g.Wait()
}

const (
	// shutdownLead is the time before the kill at which the process stops accepting connections.
	shutdownLead = 2500 * time.Millisecond
	// exitLead is the time before the kill at which the process exits, even if requests are still in flight.
	exitLead = 300 * time.Millisecond
	// answerLead is the time before the exit at which all requests still in flight get their final answers.
	answerLead = 250 * time.Millisecond
	// cutLead is the time before the exit at which streams that have begun are cut off.
	cutLead = 50 * time.Millisecond
	// lastPartFraction is the part of the grace period, at its end, in which an endpoint is to be at work on each stream that is
	// cut off: one in so many.
	lastPartFraction = 6
)

// drain stops the process. Address answers omit this host at once. It then notifies its peers, releases its leases and
// writes its row concurrently. Shortly before the kill it closes the listener and callers' idle connections, then answers the
// requests that are still in flight, and exits.
func (s *Site) drain(ctx context.Context, requests net.Listener) {
	grace := s.Grace()
	kill := time.Now().Add(grace)
	s.killAt.Store(kill.UnixNano())
	s.Log.Info("draining", "active-requests", s.inFlight.Load(), "grace-ms", grace.Milliseconds())
	ctx, cancel := context.WithDeadline(ctx, kill.Add(-exitLead))
	defer cancel()
	answers := time.AfterFunc(grace-exitLead-answerLead, s.endRequests)
	defer answers.Stop()
	cuts := time.AfterFunc(grace-exitLead-cutLead, s.cutStreams)
	defer cuts.Stop()
	s.announceStop(ctx, kill.Add(-shutdownLead))
	pause(ctx, time.Until(kill.Add(-shutdownLead)))
	if err := requests.Close(); err != nil {
		s.Log.Warn("cannot close the listener for callers", "error", err)
	}
	err := s.idle.Drain(ctx)
	s.Log.Info("drained", "active-requests", s.inFlight.Load(), "incomplete", err != nil)
}

// announceStop tells peers that this host stops, releases its leases and writes its row, concurrently. It gives up at a time:
// a store that does not answer must not hold up the end of the connections.
func (s *Site) announceStop(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	var g errgroup.Group
	for _, announce := range []func(context.Context){s.notifyPeers, s.leases.Close, s.member.Join} {
		g.Go(func() error {
			announce(ctx)
			return nil
		})
	}
	_ = g.Wait()
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
