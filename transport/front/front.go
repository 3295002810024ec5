// Package front serves callers and operators over HTTP.
package front

import (
	"context"
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
	"github.com/dragonflyroute/dragonflyroute/coordination/spread"
	"github.com/dragonflyroute/dragonflyroute/coordination/steer"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/config"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/loan"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/state/fleet"
	"github.com/dragonflyroute/dragonflyroute/state/holder"
	"github.com/dragonflyroute/dragonflyroute/state/pool"
	"github.com/dragonflyroute/dragonflyroute/state/runs"
	"github.com/dragonflyroute/dragonflyroute/state/score"
	"github.com/dragonflyroute/dragonflyroute/transport/meter"
)

const (
	// accountHeader names the caller's account.
	accountHeader = "X-Account"
	// requestIDHeader names the request.
	requestIDHeader = "X-Request-Id"
	// borrowPart is the part of a peer's own limits that is asked of it when those here are used up.
	borrowPart = 0.9
	// closeTime bounds the end of open connections at a stop.
	closeTime = 2 * time.Second
)

// Front is the HTTP server of an entry host.
//
// All exported fields are set before Run.
type Front struct {
	// Settings are the process's settings.
	Settings *config.Settings
	// Log takes one line for each refused or failed request.
	Log hclog.Logger
	// Meter counts requests.
	Meter *meter.Meter
	// Holder holds the catalogue.
	Holder *holder.Holder
	// Fleet is the view of the entry hosts.
	Fleet *fleet.Fleet
	// Pool holds the endpoints.
	Pool *pool.Pool
	// Runs holds running and handed-over requests.
	Runs *runs.Runs
	// Score keeps the withdrawn moves.
	Score *score.Score
	// Mover takes evidence on moves.
	Mover *mover.Mover
	// Gate admits requests within limits.
	Gate *gate.Gate
	// Relay runs model requests.
	Relay *relay.Relay
	// Ledger runs non-idempotent calls.
	Ledger *once.Ledger
	// Spread knows whether the catalogue may be acted on.
	Spread *spread.Spread
	// Edits changes the catalogue.
	Edits *edits.Edits
	// Steer chooses versions.
	Steer *steer.Steer
	// Picker chooses endpoints for calls.
	Picker route.Picker
	// Place answers which entry hosts to use.
	Place place.Place
	// Self returns the process's own heartbeat.
	Self func() pulse.Pulse
	// NewID returns a fresh id.
	NewID func() string
	// Now returns the time.
	Now func() time.Time

	// Quota holds the process's part of the limits.
	Quota *quota.Quota
	// Want asks the peers for a part of an account's limits in the background.
	Want func(ask loan.Loan)
	// Borrow asks the peers for a part of an account's limits and reports whether any gave something.
	Borrow func(ctx context.Context, ask loan.Loan) bool
	// HandOver gives a running request to a peer and returns the peer's address for callers.
	HandOver func(ctx context.Context, t ticket.Ticket) (address string, err error)

	draining atomic.Bool
	moving   sync.Map
	waiting  atomic.Int64
}

// Drain stops taking new work from callers that are told of it; stale callers are still served.
func (f *Front) Drain() { f.draining.Store(true) }

// Move hands the running model requests to peers and tells their callers to go there: streams only, or all.
func (f *Front) Move(all bool) {
	f.moving.Range(func(_, v any) bool {
		if m, ok := v.(movable); ok && (all || m.stream) {
			m.cancel(errReconnect)
		}
		return true
	})
}

// Waiting returns the number of callers' requests being served.
func (f *Front) Waiting() int { return int(f.waiting.Load()) }

// Run serves on l until ctx ends.
func (f *Front) Run(ctx context.Context, l net.Listener) error {
	app, err := f.routes()
	if err != nil {
		return fault.Wrap(kind.Internal, err, "routes")
	}
	s := &http.Server{
		Handler:           app,
		ReadHeaderTimeout: f.Settings.Bounds.ReadTimeout.Of(),
		ReadTimeout:       f.Settings.Bounds.ReadTimeout.Of(),
		IdleTimeout:       f.Settings.Intervals.KeepAnswer.Of(),
		MaxHeaderBytes:    f.Settings.Bounds.HeaderBytes,
		ErrorLog:          f.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTime)
		defer cancel()
		return s.Shutdown(stop)
	})
	g.Go(func() error {
		err := s.Serve(&door{Listener: l, max: int64(f.Settings.Bounds.Connections), buffer: f.Settings.Bounds.WriteBuffer})
		if err == http.ErrServerClosed {
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
		f.refuse(c, fault.New(kind.NotFound, "path", "nothing is served at %s", c.Path()))
	})
	app.OnErrorCode(iris.StatusMethodNotAllowed, func(c iris.Context) {
		f.refuse(c, fault.New(kind.NotFound, "method", "%s is not served at %s", c.Method(), c.Path()))
	})
	app.Get("/v1/entries", f.entries)
	app.Post("/v1/completions", f.count, f.completions)
	app.Any("/apps/{entry:string}/{path:path}", f.count, f.apps)
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

func (f *Front) count(c iris.Context) {
	f.waiting.Add(1)
	defer f.waiting.Add(-1)
	c.Next()
}

type addresses struct {
	// Addresses lists IP numbers and ports, best first.
	Addresses []string `json:"addresses"`
	// KeepSeconds is how long the answer may be kept.
	KeepSeconds float64 `json:"keep-seconds"`
}

// entries answers which entry hosts an account's callers shall use.
func (f *Front) entries(c iris.Context) {
	account := acct.ID(c.URLParam("account"))
	cat := f.Holder.Current()
	if cat == nil || cat.Scale(account) == 0 {
		f.refuse(c, fault.New(kind.NotFound, "account", "no account %q", account))
		return
	}
	hosts := append(f.Fleet.Alive(f.Now()), f.Self())
	writeJSON(c, addresses{
		Addresses:   f.Place.Answer(account, cat.Scale(account), hosts),
		KeepSeconds: f.Settings.Intervals.KeepAnswer.Of().Seconds(),
	})
}

func (f *Front) health(c iris.Context) {
	if f.draining.Load() || f.Self().State != pulse.Live {
		f.refuse(c, fault.New(kind.Draining, "", "this entry host is %s", f.Self().State))
		return
	}
	writeJSON(c, map[string]string{"state": f.Self().State})
}

// admit finds the entry and the account and takes one place within the account's limits.
func (f *Front) admit(c iris.Context, name label.Name) (e *entry.Entry, account acct.ID, leave func(), err error) {
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
	leave, err = f.enter(c.Request().Context(), account, scale, e)
	return e, account, leave, err
}

// enter takes one place within the account's limits, asking the peers for unused parts of them ahead of need, or at
// once when the part held here is used up.
func (f *Front) enter(ctx context.Context, account acct.ID, scale float64, e *entry.Entry) (leave func(), err error) {
	now := f.Now()
	ask := loan.Loan{Account: account, Entry: e.Name, By: f.Settings.Host, Share: borrowPart / float64(f.Settings.EntryHosts*place.Homes(scale))}
	leave, err = f.Gate.Enter(account, scale, e, now)
	if err == nil {
		if f.Quota.Wants(account, e.Name, f.Gate.Used(account, scale, e, now), now) {
			f.Want(ask)
		}
		return leave, nil
	}
	if !f.Borrow(ctx, ask) {
		return nil, err
	}
	return f.Gate.Enter(account, scale, e, f.Now())
}

// currentCatalogue returns the catalogue, unless it may have been replaced without this process knowing.
func (f *Front) currentCatalogue() (*catlog.Catalogue, error) {
	cat := f.Holder.Current()
	if cat == nil {
		return nil, fault.New(kind.Unavailable, "", "no catalogue was received yet").After(time.Second)
	}
	if !f.Spread.Current(f.Now()) {
		return nil, fault.New(kind.Unavailable, "", "the catalogue was not confirmed within %s; ask another entry host", f.Settings.Intervals.ConfigAge.Of()).After(time.Second)
	}
	return cat, nil
}
