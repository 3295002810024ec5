package front

import (
	"context"
	"mime"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/prompt"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
	"github.com/dragonflyroute/dragonflyroute/transport/spans"
)

// lastEventHeader carries the offset of the last token that a reconnecting caller has.
const lastEventHeader = "Last-Event-ID"

// errReconnect ends a model request on a draining entry host so that its caller reconnects to another one.
var errReconnect = fault.New(kind.Draining, "", "this entry host is draining; reconnect to another one with "+lastEventHeader)

// returnAfter is the time after which a caller finds other entry hosts in address answers than one that drains.
const returnAfter = time.Second

type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type completion struct {
	ID     string `json:"id"`
	Object string `json:"object"`
	Model  string `json:"model"`
	// Fingerprint is the version that generated the choices; a caller that resumes with its own tokens sends it back.
	Fingerprint string   `json:"system_fingerprint,omitempty"`
	Choices     []choice `json:"choices"`
	Usage       *usage   `json:"usage,omitempty"`
}

// completions serves a model request, as one JSON document or as server-sent events.
func (f *Front) completions(c iris.Context) {
	started := f.Now()
	ctx := otel.GetTextMapPropagator().Extract(c.Request().Context(), propagation.HeaderCarrier(c.Request().Header))
	ctx, end := spans.Start(ctx, "caller-request", attribute.String("host", string(f.Settings.Host)))
	e, err := f.complete(ctx, c)
	end(err)
	if e == nil {
		return
	}
	outcome := "ok"
	if err != nil {
		outcome = fault.KindOf(err).String()
	}
	f.Meter.RecordRequest(e.Name, e.Class, outcome, f.Now().Sub(started))
}

func (f *Front) complete(ctx context.Context, c iris.Context) (*entry.Entry, error) {
	p, err := f.readPrompt(c)
	if err != nil {
		f.refuse(c, err)
		return nil, err
	}
	_, endAdmission := spans.Start(ctx, "admission")
	e, account, release, err := f.admit(c, p.Model)
	endAdmission(err)
	if err != nil {
		f.refuse(c, err)
		return e, err
	}
	defer release()
	t, skip, err := f.ticket(c, p, e)
	if skip > 0 || len(t.Tokens) > 0 {
		_, endResume := spans.Start(ctx, "resume", attribute.Int("offset", skip), attribute.Int("tokens", len(t.Tokens)))
		endResume(err)
	}
	if err != nil {
		f.refuse(c, err)
		return e, err
	}
	t.Account = account
	if err := f.Relay.Admit(t, e); err != nil && len(t.Tokens) == 0 {
		f.refuse(c, err)
		return e, err
	}
	if p.Stream {
		return e, f.stream(ctx, c, t, skip, e)
	}
	return e, f.completeText(ctx, c, t, e)
}

func (f *Front) readPrompt(c iris.Context) (*prompt.Request, error) {
	media, _, err := mime.ParseMediaType(c.GetHeader("Content-Type"))
	if err != nil || media != "application/json" {
		return nil, fault.New(kind.BadRequest, "Content-Type", "%q is not application/json", c.GetHeader("Content-Type"))
	}
	data, err := f.readBody(c)
	if err != nil {
		return nil, err
	}
	return prompt.Parse(data)
}

// ticket returns the request's ticket and the offset of the first token that the caller has not received.
//
// For a reconnecting caller it is the ticket that another entry host handed over, or one built from the caller's
// tokens.
func (f *Front) ticket(c iris.Context, p *prompt.Request, e *entry.Entry) (ticket.Ticket, int, error) {
	if e.Class == class.Call {
		return ticket.Ticket{}, 0, fault.New(kind.BadRequest, "model", "entry %s is a service, not a model", e.Name)
	}
	maxTokens := p.MaxTokens
	if maxTokens == 0 {
		maxTokens = e.Limits.MaxTokens
	}
	if maxTokens > e.Limits.MaxTokens {
		return ticket.Ticket{}, 0, fault.New(kind.BadRequest, "max_tokens", "%d exceeds the entry's limit of %d", maxTokens, e.Limits.MaxTokens)
	}
	id := c.GetHeader(requestIDHeader)
	if id == "" {
		id = f.NewID()
	}
	t := ticket.Ticket{ID: id, Entry: e.Name, Prompt: p.Prompt, MaxTokens: maxTokens, Tokens: p.Partial, Version: p.Version, Extra: p.Extra}
	last := c.GetHeader(lastEventHeader)
	if last != "" {
		return f.resume(c, t, last)
	}
	if handed, ok := f.takeHandedOver(c, t, 0); ok {
		return handed, len(p.Partial), nil
	}
	return t, len(p.Partial), nil
}

// takeHandedOver removes and returns the ticket that a draining peer handed over. It returns false when there is none, or
// it is not of the same account and request with at least the tokens that the caller has.
func (f *Front) takeHandedOver(c iris.Context, t ticket.Ticket, received int) (ticket.Ticket, bool) {
	return f.Runs.Take(t.ID, f.Now(), func(h ticket.Ticket) bool {
		same := h.Prompt == t.Prompt && h.Entry == t.Entry && h.MaxTokens == t.MaxTokens && string(h.Account) == c.GetHeader(accountHeader)
		return same && len(h.Tokens) >= received
	})
}

func (f *Front) resume(c iris.Context, t ticket.Ticket, last string) (ticket.Ticket, int, error) {
	offset, err := strconv.Atoi(last)
	if err != nil || offset < 0 || offset >= t.MaxTokens {
		return t, 0, fault.New(kind.BadRequest, lastEventHeader, "%q is not a token offset below %d", last, t.MaxTokens)
	}
	skip := offset + 1
	if handed, ok := f.takeHandedOver(c, t, skip); ok {
		return handed, skip, nil
	}
	if len(t.Tokens) == skip {
		return t, skip, nil
	}
	return t, 0, fault.New(kind.NotFound, requestIDHeader, "request %s was not handed over to this entry host; send the %d tokens already received in partial", t.ID, skip)
}

// completeText answers with the whole text in one JSON document.
func (f *Front) completeText(ctx context.Context, c iris.Context, t ticket.Ticket, e *entry.Entry) error {
	text := strings.Builder{}
	for _, token := range t.Tokens {
		text.WriteString(token)
	}
	version := t.Version
	to, err := f.run(ctx, t, e, false, func(_ int, generatedBy label.Name, token string) error {
		version = generatedBy
		text.WriteString(token)
		return nil
	})
	if to != nil {
		c.ResponseWriter().Header().Set(requestIDHeader, t.ID)
	}
	switch {
	case to != nil && to.Address != "":
		c.ResponseWriter().Header().Set("Location", "http://"+to.Address+c.Path())
	case to != nil:
		err = fault.New(kind.Draining, "", "this entry host is draining, and no other one took the request over; send it to another one").WithRetryAfter(returnAfter)
	}
	if err != nil {
		f.refuse(c, err)
		return err
	}
	stop := "length"
	writeJSON(c, completion{
		ID:          t.ID,
		Object:      "text_completion",
		Model:       string(e.Name),
		Fingerprint: string(version),
		Choices:     []choice{{Text: text.String(), FinishReason: &stop}},
		Usage:       &usage{CompletionTokens: t.MaxTokens},
	})
	return nil
}

// runningRequest is a running model request that can be handed over to a peer.
type runningRequest struct {
	stream bool
	cancel context.CancelCauseFunc
}

// reconnect is the event that refers a caller to the peer that continues its request.
type reconnect struct {
	Address   string `json:"address"`
	RequestID string `json:"request-id"`
	Offset    int    `json:"offset"`
}

// run runs the request on this entry host. When Migrate cancels it, run hands it over and returns the reconnect event
// beside the error.
func (f *Front) run(ctx context.Context, t ticket.Ticket, e *entry.Entry, stream bool, emit func(offset int, version label.Name, token string) error) (*reconnect, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var snapshot func() ticket.Ticket
	begin := func(s func() ticket.Ticket) {
		snapshot = s
		if f.Runs.Begin(t.ID, s) {
			f.running.Store(t.ID, runningRequest{stream: stream, cancel: cancel})
		}
	}
	err := f.Relay.Run(ctx, t, e, begin, emit)
	if _, registered := f.running.LoadAndDelete(t.ID); registered {
		f.Runs.End(t.ID)
	}
	if err == nil || context.Cause(ctx) != error(errReconnect) {
		return nil, err
	}
	rest := snapshot()
	address, handOverErr := f.HandOver(context.WithoutCancel(ctx), rest)
	if handOverErr != nil {
		f.Log.Warn("handover of a request failed; its caller must resume with its own tokens", "request", t.ID, "error", handOverErr)
	}
	return &reconnect{Address: address, RequestID: t.ID, Offset: len(rest.Tokens) - 1}, err
}
