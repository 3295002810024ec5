package front

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/kataras/iris/v12"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"github.com/dragonflyroute/dragonflyroute/coordination/hedge"
	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/claim"
	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/need"
	"github.com/dragonflyroute/dragonflyroute/state/server"
	"github.com/dragonflyroute/dragonflyroute/transport/plain"
	"github.com/dragonflyroute/dragonflyroute/transport/spans"
)

const (
	// keyHeader carries the idempotency key of a call that must not run twice.
	keyHeader = "Idempotency-Key"
	// maxKeyBytes is the largest length of an idempotency key.
	maxKeyBytes = 128
	// claimPrefix is the prefix of the keys of claim rows.
	claimPrefix = "claim/"
	// hedgeDivisor divides the answer limit to give the time after which an unanswered idempotent call is hedged.
	hedgeDivisor = 4
	// maxAttempts bounds the attempts of an idempotent call, hedges included.
	maxAttempts = 3
)

// invocation is one application call in progress; it implements the call that the ledger runs.
type invocation struct {
	front *Front
	entry *entry.Entry
	// route is the index of the call's route in entry.
	route int
	call  *plain.Call

	// target is the endpoint of the last Contact, move the id of the move that the attempt counts for, empty for none,
	// and isNew whether it goes to the move's new version.
	target *server.Server
	move   string
	isNew  bool
}

func (v *invocation) routeName() string { return string(v.entry.Routes[v.route].Name) }

// Contact chooses an endpoint, another than the last one if possible, and connects to it.
func (v *invocation) Contact(ctx context.Context) error {
	f := v.front
	avoid := v.target
	version, moveID, isNew := f.Splitter.Choose(v.entry, f.Catalogue.Current().Move(v.entry.Name), v.routeName())
	v.move, v.isNew = moveID, isNew
	now := f.Now()
	n := &need.Requirements{Class: class.Call, Answer: v.entry.Limits.Answer.Duration(), Refund: v.entry.Refund, PriceCeiling: v.entry.PriceCeiling}
	candidates := f.Pool.Candidates(v.entry.Backend, version)
	v.target, _ = f.Picker.Pick(candidates, n, avoid, now)
	if v.target == nil {
		v.target, _ = f.Picker.Pick(candidates, n, nil, now)
	}
	if v.target == nil {
		return fault.New(kind.Unavailable, "", "no usable endpoint of back end %s, version %s", v.entry.Backend, version).WithRetryAfter(time.Second)
	}
	err := v.call.Connect(ctx, v.target.Row().Address)
	if err != nil {
		v.target.RecordFailure(now)
	}
	return err
}

// Send sends the call on the connection of the last Contact.
func (v *invocation) Send(ctx context.Context) (claim.Claim, bool, error) {
	f := v.front
	target := v.target
	ctx, end := spans.Start(ctx, "endpoint-attempt", attribute.String("endpoint", string(target.Row().ID)))
	started := f.Now()
	target.Begin(class.Call, started)
	defer target.End(class.Call)
	answer, sent, err := v.call.Send(ctx)
	end(err)
	gone := context.Cause(ctx) == context.Canceled
	if err != nil && !gone {
		target.RecordFailure(f.Now())
	}
	late := f.Now().Sub(started) > v.entry.Limits.Answer.Duration()
	// A caller who left before the answer was due says nothing of the version.
	if v.move != "" && (!gone || late) {
		f.Mover.Record(v.move, v.routeName(), v.isNew, err != nil || answer.Status >= iris.StatusMultipleChoices || late)
	}
	return answer, sent, err
}

// apps serves an application call.
func (f *Front) apps(c iris.Context) {
	started := f.Now()
	ctx := otel.GetTextMapPropagator().Extract(c.Request().Context(), propagation.HeaderCarrier(c.Request().Header))
	ctx, end := spans.Start(ctx, "caller-request", attribute.String("host", string(f.Settings.Host)))
	e, answer, err := f.call(ctx, c)
	end(err)
	outcome := "ok"
	if err != nil {
		outcome = fault.KindOf(err).String()
		f.refuse(c, err)
	} else {
		writeAnswer(c, answer)
	}
	if e != nil {
		f.Meter.RecordRequest(e.Name, e.Class, outcome, f.Now().Sub(started))
	}
}

func writeAnswer(c iris.Context, answer claim.Claim) {
	w := c.ResponseWriter()
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func (f *Front) call(ctx context.Context, c iris.Context) (*entry.Entry, claim.Claim, error) {
	_, endAdmission := spans.Start(ctx, "admission")
	e, account, release, err := f.admit(c, label.Name(c.Params().Get("entry")))
	endAdmission(err)
	if err != nil {
		return e, claim.Claim{}, err
	}
	defer release()
	if e.Class != class.Call {
		return e, claim.Claim{}, fault.New(kind.BadRequest, "entry", "entry %s is a model, not a service", e.Name)
	}
	v := &invocation{front: f, entry: e, route: e.RouteIndex(c.Method(), "/"+c.Params().Get("path"))}
	if v.route < 0 {
		return e, claim.Claim{}, fault.New(kind.NotFound, "path", "entry %s has no route %s /%s", e.Name, c.Method(), c.Params().Get("path"))
	}
	body, err := f.readBody(c)
	if err != nil {
		return e, claim.Claim{}, err
	}
	v.call = f.plainCall(c, v, body)
	defer v.call.Close()
	if e.Routes[v.route].Idempotent {
		answer, err := f.callIdempotent(ctx, v)
		return e, answer, err
	}
	answer, err := f.callOnce(ctx, account, v)
	return e, answer, err
}

func (f *Front) plainCall(c iris.Context, v *invocation, body []byte) *plain.Call {
	path := v.entry.Routes[v.route].Path
	if query := c.Request().URL.RawQuery; query != "" {
		path += "?" + query
	}
	return &plain.Call{
		Method:      c.Method(),
		Path:        path,
		ContentType: c.GetHeader("Content-Type"),
		Key:         c.GetHeader(keyHeader),
		Body:        body,
	}
}

// callIdempotent runs an idempotent call, with hedged requests and retries at other endpoints when one is slow or
// fails.
func (f *Front) callIdempotent(ctx context.Context, v *invocation) (claim.Claim, error) {
	limit := v.entry.Limits.Answer.Duration()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	h := &hedge.Hedge{Delay: limit / hedgeDivisor, Retries: f.Relay.Retries, Max: maxAttempts}
	var mu sync.Mutex
	var last *server.Server
	answer, err := h.Do(ctx, func(ctx context.Context, _ int) (claim.Claim, error) {
		attempt := v.copy()
		defer attempt.call.Close()
		mu.Lock()
		attempt.target = last
		mu.Unlock()
		if err := attempt.Contact(ctx); err != nil {
			return claim.Claim{}, err
		}
		mu.Lock()
		last = attempt.target
		mu.Unlock()
		answer, _, err := attempt.Send(ctx)
		return answer, err
	})
	if err != nil {
		unavailable := fault.New(kind.Unavailable, "", "no endpoint of %s answered", v.entry.Backend).WithRetryAfter(time.Second)
		unavailable.Cause = err
		return claim.Claim{}, unavailable
	}
	f.Relay.Retries.Deposit()
	return answer, nil
}

// copy returns the same call with a connection of its own.
func (v *invocation) copy() *invocation {
	clone := *v
	call := *v.call
	clone.call = &call
	return &clone
}

// callOnce runs a non-idempotent call under a claim; the call continues when the caller disconnects.
func (f *Front) callOnce(ctx context.Context, account acct.ID, v *invocation) (claim.Claim, error) {
	key := v.call.Key
	if key == "" || len(key) > maxKeyBytes {
		return claim.Claim{}, fault.New(kind.BadRequest, keyHeader, "route %s requires a key of 1 to %d bytes", v.entry.Routes[v.route].Name, maxKeyBytes)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), v.entry.Limits.Answer.Duration())
	defer cancel()
	ctx, end := spans.Start(ctx, "claim")
	answer, err := f.Ledger.Run(ctx, claimPrefix+string(account)+"/"+key, v.digest(), v)
	end(err)
	return answer, err
}

func (v *invocation) digest() string {
	h := sha256.New()
	for _, part := range []string{string(v.entry.Name), v.call.Method, v.call.Path, string(v.call.Body)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}
