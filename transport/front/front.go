// Package front is the HTTP server for callers and operators.
package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/kataras/iris/v12"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/coordination/edits"
	"github.com/dragonflyroute/dragonflyroute/coordination/gate"
	"github.com/dragonflyroute/dragonflyroute/coordination/mover"
	"github.com/dragonflyroute/dragonflyroute/coordination/once"
	"github.com/dragonflyroute/dragonflyroute/coordination/place"
	"github.com/dragonflyroute/dragonflyroute/coordination/quota"
	"github.com/dragonflyroute/dragonflyroute/coordination/relay"
	"github.com/dragonflyroute/dragonflyroute/coordination/route"
	"github.com/dragonflyroute/dragonflyroute/coordination/split"
	"github.com/dragonflyroute/dragonflyroute/coordination/spread"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/config"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/state/fleet"
	"github.com/dragonflyroute/dragonflyroute/state/newest"
	"github.com/dragonflyroute/dragonflyroute/state/pool"
	"github.com/dragonflyroute/dragonflyroute/state/runs"
	"github.com/dragonflyroute/dragonflyroute/state/trials"
	"github.com/dragonflyroute/dragonflyroute/transport/idle"
	"github.com/dragonflyroute/dragonflyroute/transport/meter"
)

const (
	// accountHeader carries the id of the caller's account.
	accountHeader = "X-Account"
	// requestIDHeader carries the request's id.
	requestIDHeader = "X-Request-Id"
	// borrowFraction is the fraction of its own part of a limit that each peer is asked to lend.
	borrowFraction = 0.9
	// shutdownTimeout bounds the wait for open connections at shutdown.
	shutdownTimeout = 2 * time.Second
	// serverIdleMargin is how much later than by the idle limit the HTTP server itself closes an idle connection, without a
	// look for a request that has arrived.
	serverIdleMargin = 5 * time.Minute
)

// Front is the HTTP server of an entry host.
//
// All exported fields are set before Run.
type Front struct {
	// Settings are the process's settings.
	Settings *config.Settings
	// Log gets a line for each refused request, failed handover and stream that ended early.
	Log hclog.Logger
	// Meter counts requests.
	Meter *meter.Meter
	// Catalogue holds the newest catalogue.
	Catalogue *newest.Catalogue
	// Fleet holds the heartbeats of the entry hosts.
	Fleet *fleet.Fleet
	// Pool holds the endpoints.
	Pool *pool.Pool
	// Runs holds running and handed-over requests.
	Runs *runs.Runs
	// Trials holds the withdrawn moves.
	Trials *trials.Trials
	// Mover records the outcomes of calls that count for a move.
	Mover *mover.Mover
	// Gate admits requests within their account's limits.
	Gate *gate.Gate
	// Relay runs model requests.
	Relay *relay.Relay
	// Ledger runs non-idempotent calls at most once.
	Ledger *once.Ledger
	// Gossip reports whether the catalogue was confirmed recently and which entry hosts hold a revision.
	Gossip *spread.Gossip
	// Edits changes the catalogue.
	Edits *edits.Edits
	// Splitter chooses the version of each call.
	Splitter *split.Splitter
	// Picker chooses the endpoint of each call.
	Picker route.Picker
	// Place chooses the entry hosts that an account should use.
	Place place.Place
	// Self returns the process's own heartbeat.
	Self func() beat.Heartbeat
	// NewID returns a unique request id.
	NewID func() string
	// Now returns the time.
	Now func() time.Time

	// Quota holds this process's part of the accounts' limits.
	Quota *quota.Quota
	// BorrowAhead asks the peers in the background to lend a part of an account's limits, before it is needed.
	BorrowAhead func(request loan.Loan)
	// Borrow asks the peers to lend a part of an account's limits and reports whether any did.
	Borrow func(ctx context.Context, request loan.Loan) bool
	// HandOver sends the ticket of a running request to a peer and returns the peer's address for callers.
	HandOver func(ctx context.Context, t ticket.Ticket) (address string, err error)

	draining atomic.Bool
	// running holds the runningRequest of each running model request by its id.
	running sync.Map
	// inFlight counts the callers' requests being served.
	inFlight atomic.Int64
}

// Drain makes the health check fail, so that callers choose another entry host. Callers with an older address list are
// still served.
func (f *Front) Drain() { f.draining.Store(true) }

// Migrate hands running model requests over to peers and refers their callers there: streams only, or all requests.
func (f *Front) Migrate(all bool) {
	f.running.Range(func(_, v any) bool {
		if m, ok := v.(runningRequest); ok && (all || m.stream) {
			m.cancel(errReconnect)
		}
		return true
	})
}

// InFlight returns the number of callers' requests being served.
func (f *Front) InFlight() int { return int(f.inFlight.Load()) }

// Run serves on l until ctx is done.
func (f *Front) Run(ctx context.Context, l net.Listener) error {
	app, err := f.routes()
	if err != nil {
		return fault.Wrap(kind.Internal, err, "build the HTTP routes")
	}
	closer := &idle.Closer{Limit: f.Settings.Intervals.AddressTTL.Duration}
	s := &http.Server{
		Handler:           app,
		ConnState:         closer.ConnState,
		ReadHeaderTimeout: f.Settings.Bounds.ReadTimeout.Duration(),
		ReadTimeout:       f.Settings.Bounds.ReadTimeout.Duration(),
		IdleTimeout:       f.Settings.Intervals.AddressTTL.Duration() + serverIdleMargin,
		MaxHeaderBytes:    f.Settings.Bounds.MaxHeaderBytes,
		ErrorLog:          f.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = l.Close()
		return closer.Drain(stop)
	})
	g.Go(func() error {
		err := s.Serve(closer.Listener(&limitListener{Listener: l, max: int64(f.Settings.Bounds.MaxConnections), buffer: f.Settings.Bounds.WriteBuffer}))
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
	return g.Wait()
}

func (f *Front) routes() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.OnErrorCode(iris.StatusNotFound, func(c iris.Context) {
		f.refuse(c, fault.New(kind.NotFound, "path", "no resource at %s", c.Path()))
	})
	app.OnErrorCode(iris.StatusMethodNotAllowed, func(c iris.Context) {
		f.refuse(c, fault.New(kind.NotFound, "method", "method %s is not allowed at %s", c.Method(), c.Path()))
	})
	app.Get("/v1/entries", f.entries)
	app.Post("/v1/completions", f.countInFlight, f.completions)
	app.Any("/apps/{entry:string}/{path:path}", f.countInFlight, f.apps)
	app.Get("/metrics", iris.FromStd(f.Meter.Handler()))
	app.Get("/healthz", f.health)
	operator := app.Party("/operator", f.requireKey)
	operator.Get("/catalogue", f.getCatalogue)
	operator.Put("/catalogue", f.putCatalogue)
	operator.Get("/catalogue/{revision:int64}", f.getRevision)
	operator.Post("/moves", f.startMove)
	operator.Get("/moves/{entry:string}", f.getMove)
	operator.Delete("/moves/{entry:string}", f.withdrawMove)
	operator.Get("/status", f.status)
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

func (f *Front) countInFlight(c iris.Context) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	c.Next()
}

// addresses is the answer to a caller that asks for entry hosts.
type addresses struct {
	// Addresses lists IP addresses with ports, best first.
	Addresses []string `json:"addresses"`
	// TTLSeconds is how long the caller may cache the answer.
	TTLSeconds float64 `json:"keep-seconds"`
}

// entries answers with the entry hosts that an account's callers should use.
func (f *Front) entries(c iris.Context) {
	account := acct.ID(c.URLParam("account"))
	cat := f.Catalogue.Current()
	if cat == nil || cat.Scale(account) == 0 {
		f.refuse(c, fault.New(kind.NotFound, "account", "no account %q", account))
		return
	}
	hosts := append(f.Fleet.Alive(f.Now()), f.Self())
	writeJSON(c, addresses{
		Addresses:  f.Place.Addresses(account, cat.Scale(account), hosts),
		TTLSeconds: f.Settings.Intervals.AddressTTL.Duration().Seconds(),
	})
}

func (f *Front) health(c iris.Context) {
	if f.draining.Load() || f.Self().State != beat.Live {
		f.refuse(c, fault.New(kind.Draining, "", "this entry host's state is %s", f.Self().State))
		return
	}
	writeJSON(c, map[string]string{"state": f.Self().State})
}

// admit looks up the entry and the account and admits the request within the account's limits. The caller calls release
// once when the request has ended.
func (f *Front) admit(c iris.Context, name label.Name) (e *entry.Entry, account acct.ID, release func(), err error) {
	account = acct.ID(c.GetHeader(accountHeader))
	cat, err := f.currentCatalogue()
	if err != nil {
		return nil, account, nil, err
	}
	scale := cat.Scale(account)
	if scale == 0 {
		return nil, account, nil, fault.New(kind.Unauthorized, accountHeader, "no account %q", account)
	}
	e = cat.Entry(name)
	if e == nil {
		return nil, account, nil, fault.New(kind.NotFound, "model", "no entry %q", name)
	}
	release, err = f.acquire(c.Request().Context(), account, scale, e)
	return e, account, release, err
}

// acquire admits a request within the account's limits. It asks the peers for unused parts of the limits in the
// background when the part held here is nearly used, and synchronously when it is used up.
func (f *Front) acquire(ctx context.Context, account acct.ID, scale float64, e *entry.Entry) (release func(), err error) {
	now := f.Now()
	request := loan.Loan{Account: account, Entry: e.Name, Host: f.Settings.Host, Share: borrowFraction / float64(f.Settings.MaxEntryHosts*place.Homes(scale))}
	release, err = f.Gate.Admit(account, scale, e, now)
	if err == nil {
		if f.Quota.NeedsMore(account, e.Name, f.Gate.Used(account, scale, e, now), now) {
			f.BorrowAhead(request)
		}
		return release, nil
	}
	if !f.Borrow(ctx, request) {
		return nil, err
	}
	return f.Gate.Admit(account, scale, e, f.Now())
}

// currentCatalogue returns the catalogue, or an error of kind Unavailable when there is none or it was not confirmed
// within the configured age and may be stale.
func (f *Front) currentCatalogue() (*catlog.Catalogue, error) {
	cat := f.Catalogue.Current()
	if cat == nil {
		return nil, fault.New(kind.Unavailable, "", "no catalogue received yet").WithRetryAfter(time.Second)
	}
	if !f.Gossip.Current(f.Now()) {
		return nil, fault.New(kind.Unavailable, "", "the catalogue was not confirmed within %s; ask another entry host", f.Settings.Intervals.MaxCatalogueAge.Duration()).WithRetryAfter(time.Second)
	}
	return cat, nil
}
