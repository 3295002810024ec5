package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

type completionRequest struct {
	Model     label.Name `json:"model"`
	Prompt    string     `json:"prompt"`
	MaxTokens int        `json:"max_tokens"`
	Stream    bool       `json:"stream"`
	Partial   []string   `json:"partial,omitempty"`
	Version   label.Name `json:"system_fingerprint,omitempty"`
}

type streamChunk struct {
	Version label.Name `json:"system_fingerprint"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// reconnectError ends an attempt whose entry host leaves and names where to go on.
type reconnectError struct {
	Address string `json:"address"`
}

// Error tells where the stream goes on.
func (e *reconnectError) Error() string { return "reconnect to " + e.Address }

// stream is one answer on its way over as many entry hosts as it takes.
type stream struct {
	caller *Caller
	id     string
	ask    completionRequest
	tokens []string
	emit   func(token string)
}

// Stream asks for up to maxTokens tokens, calls emit for each and returns how many connections it took.
func (c *Caller) Stream(ctx context.Context, entry label.Name, text string, maxTokens int, emit func(token string)) (connections int, err error) {
	s := &stream{caller: c, id: c.NewID(), emit: emit, ask: completionRequest{Model: entry, Prompt: text, MaxTokens: maxTokens, Stream: true}}
	at := ""
	for try := 1; ; try++ {
		if at == "" {
			if at, err = c.next(ctx); err != nil {
				return try, err
			}
		}
		err = s.connect(ctx, at)
		if err == nil {
			c.succeed()
			return try, nil
		}
		if try >= c.Tries || !repeatable(err) {
			return try, err
		}
		at = s.turn(ctx, err)
		if ctx.Err() != nil {
			return try, err
		}
	}
}

// turn returns the address where the stream goes on, empty for any.
func (s *stream) turn(ctx context.Context, err error) string {
	if r, ok := err.(*reconnectError); ok {
		s.caller.forget()
		return r.Address
	}
	s.caller.forget()
	_ = wait(ctx, err)
	return ""
}

// repeatable reports whether a model request may be tried again after err.
func repeatable(err error) bool {
	switch fault.KindOf(err) {
	case kind.BadRequest, kind.Unauthorized, kind.NotFound, kind.TooLarge, kind.Conflict:
		return false
	default:
		return true
	}
}

func (s *stream) connect(ctx context.Context, at string) error {
	s.ask.Partial = s.tokens
	data, err := json.Marshal(s.ask)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return fault.Wrap(kind.BadRequest, err, "address")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(accountHeader, string(s.caller.Account))
	r.Header.Set(requestIDHeader, s.id)
	if len(s.tokens) > 0 {
		r.Header.Set(lastEventHeader, strconv.Itoa(len(s.tokens)-1))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(r.Header))
	w, err := s.caller.Client.Do(r)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "entry host %s", at)
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		return problem(w)
	}
	return s.read(w)
}

func (s *stream) read(w *http.Response) error {
	lines := bufio.NewScanner(w.Body)
	event, id := "", -1
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "event":
			event = value
		case "id":
			id, _ = strconv.Atoi(value)
		case "data":
			done, err := s.take(event, id, value)
			if done || err != nil {
				return err
			}
			event = ""
		}
	}
	return fault.New(kind.Unavailable, "", "the stream broke at token %d", len(s.tokens))
}

// take reads one event; a token that the caller has already is dropped by its offset.
func (s *stream) take(event string, id int, data string) (done bool, err error) {
	switch {
	case event == "reconnect":
		r := &reconnectError{}
		if err := json.Unmarshal([]byte(data), r); err != nil {
			return false, fault.Wrap(kind.Unavailable, err, "reconnect event")
		}
		return false, r
	case event == "problem":
		e := &fault.Error{}
		if err := json.Unmarshal([]byte(data), e); err != nil {
			return false, fault.Wrap(kind.Unavailable, err, "problem event")
		}
		return false, e
	case data == "[DONE]":
		return true, nil
	case id < len(s.tokens):
		return false, nil
	case id > len(s.tokens):
		return false, fault.New(kind.Unavailable, "", "token %d came where %d was due", id, len(s.tokens))
	}
	var c streamChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
		return false, fault.New(kind.Unavailable, "", "token %d is not readable", id)
	}
	s.ask.Version = c.Version
	s.tokens = append(s.tokens, c.Choices[0].Text)
	s.emit(c.Choices[0].Text)
	return false, nil
}
