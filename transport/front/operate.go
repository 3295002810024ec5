package front

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/pulse"
	"github.com/dragonflyroute/dragonflyroute/protocol/strict"
)

const (
	bearer = "Bearer "
	// forceWait bounds the wait for a change to be in force on more than half of the entry hosts.
	forceWait = 5 * time.Second
	forcePoll = 20 * time.Millisecond
)

type accepted struct {
	Revision int64 `json:"revision"`
	InForce  int   `json:"in-force"`
	Alive    int   `json:"alive"`
}

type moveOrder struct {
	Entry    label.Name `json:"entry"`
	Version  label.Name `json:"version"`
	FinishBy time.Time  `json:"finish-by"`
}

type endpointStatus struct {
	ID       string `json:"id"`
	Backend  string `json:"backend"`
	Version  string `json:"version"`
	Leaving  bool   `json:"leaving"`
	InFlight int    `json:"in-flight"`
}

type statusReport struct {
	Self           pulse.Pulse      `json:"self"`
	Peers          []pulse.Pulse    `json:"peers"`
	CatalogueAge   string           `json:"catalogue-age"`
	MayServe       bool             `json:"may-serve"`
	Moves          []move.Move      `json:"moves"`
	Endpoints      []endpointStatus `json:"endpoints"`
	PendingRecords int              `json:"pending-records"`
}

// requireKey lets operators pass; keys are compared in constant time and never logged.
func (f *Front) requireKey(c iris.Context) {
	got, ok := strings.CutPrefix(c.GetHeader("Authorization"), bearer)
	want := sha256.Sum256([]byte(f.Settings.OperatorKey))
	have := sha256.Sum256([]byte(got))
	if !ok || subtle.ConstantTimeCompare(want[:], have[:]) != 1 {
		f.refuse(c, fault.New(kind.Unauthorized, "Authorization", "the operator key is missing or wrong"))
		return
	}
	c.Next()
}

func (f *Front) getCatalogue(c iris.Context) {
	head, err := f.Edits.Head(c.Request().Context())
	if err != nil {
		f.refuse(c, err)
		return
	}
	writeJSON(c, head)
}

func (f *Front) getRevision(c iris.Context) {
	cat, err := f.Edits.History(c.Request().Context(), c.Params().GetInt64Default("revision", 0))
	if err != nil {
		f.refuse(c, err)
		return
	}
	writeJSON(c, cat)
}

// putCatalogue accepts a draft over the revision in the query's base.
func (f *Front) putCatalogue(c iris.Context) {
	data, err := f.readBody(c)
	if err != nil {
		f.refuse(c, err)
		return
	}
	draft, faults := catlog.Parse(data)
	if len(faults) > 0 {
		f.refuse(c, faults[0])
		return
	}
	base := c.URLParamInt64Default("base", -1)
	if base < 0 {
		f.refuse(c, fault.New(kind.BadRequest, "base", "must name the revision that the draft was made from, 0 for the first"))
		return
	}
	next, err := f.Edits.Put(c.Request().Context(), draft, base)
	if err != nil {
		f.refuse(c, err)
		return
	}
	f.Holder.Offer(next)
	writeJSON(c, f.waitInForce(c.Request().Context(), next.Revision))
}

// waitInForce waits until more than half of the entry hosts hold the revision.
func (f *Front) waitInForce(ctx context.Context, revision int64) accepted {
	deadline := f.Now().Add(forceWait)
	for {
		holding, alive := f.Spread.InForce(revision)
		if holding == alive || !f.Now().Before(deadline) || ctx.Err() != nil {
			return accepted{Revision: revision, InForce: holding, Alive: alive}
		}
		time.Sleep(forcePoll)
	}
}

func (f *Front) startMove(c iris.Context) {
	data, err := f.readBody(c)
	if err != nil {
		f.refuse(c, err)
		return
	}
	var order moveOrder
	if err := strict.Decode(data, &order); err != nil {
		f.refuse(c, err)
		return
	}
	if !order.Version.Valid() {
		f.refuse(c, fault.New(kind.BadRequest, "version", "%q is not a kebab-case name", order.Version))
		return
	}
	m, err := f.Edits.StartMove(c.Request().Context(), order.Entry, order.Version, order.FinishBy)
	if err != nil {
		f.refuse(c, err)
		return
	}
	f.takeHead(c.Request().Context())
	writeJSON(c, m)
}

func (f *Front) takeHead(ctx context.Context) {
	if head, err := f.Edits.Head(ctx); err == nil {
		f.Holder.Offer(head)
	}
}

func (f *Front) findMove(c iris.Context) *move.Move {
	name := label.Name(c.Params().Get("entry"))
	cat := f.Holder.Current()
	if cat == nil || cat.Move(name) == nil {
		f.refuse(c, fault.New(kind.NotFound, "entry", "entry %q has no move", name))
		return nil
	}
	return cat.Move(name)
}

func (f *Front) getMove(c iris.Context) {
	if m := f.findMove(c); m != nil {
		writeJSON(c, m)
	}
}

// withdrawMove takes the new version's traffic back at once, here and by heartbeat everywhere, and then commits it.
func (f *Front) withdrawMove(c iris.Context) {
	m := f.findMove(c)
	if m == nil {
		return
	}
	if !m.Ended() {
		f.Score.Withdraw(m.ID)
	}
	got, err := f.Edits.WithdrawMove(c.Request().Context(), m.ID, "withdrawn by an operator")
	if err != nil {
		f.refuse(c, err)
		return
	}
	f.takeHead(c.Request().Context())
	writeJSON(c, got)
}

func (f *Front) status(c iris.Context) {
	now := f.Now()
	report := statusReport{
		Self:           f.Self(),
		Peers:          f.Fleet.Alive(now),
		CatalogueAge:   f.Holder.Age(now).Round(time.Millisecond).String(),
		MayServe:       f.Spread.Current(now),
		PendingRecords: f.Ledger.Pending(),
	}
	if cat := f.Holder.Current(); cat != nil {
		report.Moves = cat.Moves
	}
	for _, s := range f.Pool.All() {
		row := s.Row()
		report.Endpoints = append(report.Endpoints, endpointStatus{ID: string(row.ID), Backend: string(row.Backend), Version: string(row.Version), Leaving: s.Leaving(), InFlight: s.InFlight()})
	}
	slices.SortFunc(report.Endpoints, func(a, b endpointStatus) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(c, report)
}
