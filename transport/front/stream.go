package front

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/ticket"
)

// statusWritten marks the response as written for iris, so that it writes no status after a stream.
const statusWritten = 0

// events writes server-sent events; the id of a token's event is the token's offset.
type events struct {
	w       http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
	id      string
	model   string
}

func (v *events) write(text string) error {
	_ = v.control.SetWriteDeadline(time.Now().Add(v.timeout))
	if _, err := v.w.Write([]byte(text)); err != nil {
		return fault.Wrap(kind.OutcomeUnknown, err, "write to the caller failed")
	}
	if err := v.control.Flush(); err != nil {
		return fault.Wrap(kind.OutcomeUnknown, err, "write to the caller failed")
	}
	return nil
}

func (v *events) token(offset int, version label.Name, token string, last bool) error {
	ch := choice{Text: token}
	if last {
		stop := "length"
		ch.FinishReason = &stop
	}
	data, err := json.Marshal(completion{ID: v.id, Object: "text_completion", Model: v.model, Fingerprint: string(version), Choices: []choice{ch}})
	if err != nil {
		return fault.Wrap(kind.Internal, err, "can't encode the event")
	}
	return v.write(fmt.Sprintf("id: %d\ndata: %s\n\n", offset, data))
}

func (v *events) event(name string, content any) error {
	data, err := json.Marshal(content)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "can't encode the event")
	}
	return v.write(fmt.Sprintf("event: %s\ndata: %s\n\n", name, data))
}

// stream answers with one server-sent event for each token, from offset skip on.
func (f *Front) stream(ctx context.Context, c iris.Context, t ticket.Ticket, skip int, e *entry.Entry) error {
	c.ResponseWriter().SetWritten(statusWritten)
	w := c.ResponseWriter().Naive()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(requestIDHeader, t.ID)
	v := &events{w: w, control: http.NewResponseController(w), timeout: f.Settings.Bounds.WriteTimeout.Duration(), id: t.ID, model: string(e.Name)}
	for offset := skip; offset < len(t.Tokens); offset++ {
		if err := v.token(offset, t.Version, t.Tokens[offset], offset == t.MaxTokens-1); err != nil {
			return err
		}
	}
	to, err := f.run(ctx, t, e, true, func(offset int, version label.Name, token string) error {
		return v.token(offset, version, token, offset == t.MaxTokens-1)
	})
	return f.endStream(v, to, err)
}

func (f *Front) endStream(v *events, to *reconnect, err error) error {
	switch {
	case err == nil:
		return v.write("data: [DONE]\n\n")
	case to != nil:
		return v.event("reconnect", to)
	default:
		f.Log.Debug("stream ended early", "request", v.id, "error", err)
		_ = v.event("problem", fault.From(err))
		return err
	}
}
