package front

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/strict"
)

const (
	bearer = "Bearer "
	// inForceTimeout bounds the wait for a catalogue revision to reach the alive entry hosts.
	inForceTimeout = 5 * time.Second
	// inForcePoll is the interval at which that wait checks the entry hosts.
	inForcePoll = 20 * time.Millisecond
)

// accepted is the answer to a committed catalogue: its revision and how many of the alive entry hosts hold it.
type accepted struct {
	Revision int64 `json:"revision"`
	InForce  int   `json:"in-force"`
	Alive    int   `json:"alive"`
}

type moveRequest struct {
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
	Self           beat.Heartbeat   `json:"self"`
	Peers          []beat.Heartbeat `json:"peers"`
	CatalogueAge   string           `json:"catalogue-age"`
	MayServe       bool             `json:"may-serve"`
	Moves          []move.Move      `json:"moves"`
	Endpoints      []endpointStatus `json:"endpoints"`
	PendingRecords int              `json:"pending-records"`
}

// requireKey rejects requests without the operator key. Keys are compared in constant time and never logged.
func (f *Front) requireKey(c iris.Context) {
	key, ok := strings.CutPrefix(c.GetHeader("Authorization"), bearer)
	want := sha256.Sum256([]byte(f.Settings.OperatorKey))
	have := sha256.Sum256([]byte(key))
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

// putCatalogue commits a draft on top of the revision that the query parameter base names.
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
		f.refuse(c, fault.New(kind.BadRequest, "base", "must be the revision on which the draft is based, 0 for the first catalogue"))
		return
	}
	next, err := f.Edits.Put(c.Request().Context(), draft, base)
	if err != nil {
		f.refuse(c, err)
		return
	}
	f.Catalogue.Offer(next)
	writeJSON(c, f.waitInForce(c.Request().Context(), next.Revision))
}

// waitInForce waits, for at most inForceTimeout, until all alive entry hosts hold the revision, and returns how many
// do. A revision is in force once more than half of the entry hosts hold it.
func (f *Front) waitInForce(ctx context.Context, revision int64) accepted {
	deadline := f.Now().Add(inForceTimeout)
	for {
		holding, alive := f.Gossip.Adoption(revision)
		if holding == alive || !f.Now().Before(deadline) || ctx.Err() != nil {
			return accepted{Revision: revision, InForce: holding, Alive: alive}
		}
		time.Sleep(inForcePoll)
	}
}

func (f *Front) startMove(c iris.Context) {
	data, err := f.readBody(c)
	if err != nil {
		f.refuse(c, err)
		return
	}
	var request moveRequest
	if err := strict.Decode(data, &request); err != nil {
		f.refuse(c, err)
		return
	}
	if !request.Version.Valid() {
		f.refuse(c, fault.New(kind.BadRequest, "version", "%q is not a kebab-case name", request.Version))
		return
	}
	m, err := f.Edits.StartMove(c.Request().Context(), request.Entry, request.Version, request.FinishBy)
	if err != nil {
		f.refuse(c, err)
		return
	}
	f.adoptHead(c.Request().Context())
	writeJSON(c, m)
}

func (f *Front) adoptHead(ctx context.Context) {
	if head, err := f.Edits.Head(ctx); err == nil {
		f.Catalogue.Offer(head)
	}
}

func (f *Front) findMove(c iris.Context) *move.Move {
	name := label.Name(c.Params().Get("entry"))
	cat := f.Catalogue.Current()
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

// withdrawMove rolls a move back: the old version gets the traffic at once, on this host and through heartbeats on all
// others, before the withdrawal is committed.
func (f *Front) withdrawMove(c iris.Context) {
	m := f.findMove(c)
	if m == nil {
		return
	}
	if !m.Ended() {
		f.Trials.Withdraw(m.ID)
	}
	got, err := f.Edits.WithdrawMove(c.Request().Context(), m.ID, "withdrawn by an operator")
	if err != nil {
		f.refuse(c, err)
		return
	}
	f.adoptHead(c.Request().Context())
	writeJSON(c, got)
}

func (f *Front) status(c iris.Context) {
	now := f.Now()
	report := statusReport{
		Self:           f.Self(),
		Peers:          f.Fleet.Alive(now),
		CatalogueAge:   f.Catalogue.Age(now).Round(time.Millisecond).String(),
		MayServe:       f.Gossip.Current(now),
		PendingRecords: f.Ledger.PendingOutcomes(),
	}
	if cat := f.Catalogue.Current(); cat != nil {
		report.Moves = cat.Moves
	}
	for _, s := range f.Pool.All() {
		row := s.Row()
		report.Endpoints = append(report.Endpoints, endpointStatus{ID: string(row.ID), Backend: string(row.Backend), Version: string(row.Version), Leaving: s.Leaving(), InFlight: s.InFlight()})
	}
	slices.SortFunc(report.Endpoints, func(a, b endpointStatus) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(c, report)
}
