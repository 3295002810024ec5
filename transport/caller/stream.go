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

// reconnectError ends an attempt on a draining entry host and carries the address that continues the stream.
type reconnectError struct {
	Address string `json:"address"`
}

// Error returns a message with the address.
func (e *reconnectError) Error() string { return "reconnect to " + e.Address }

// stream is the state of one streamed answer over all its connections.
type stream struct {
	caller  *Caller
	id      string
	request completionRequest
	tokens  []string
	emit    func(token string)
}

// Stream requests up to maxTokens tokens, calls emit for each and returns the number of connections that it used. It
// reconnects after failures and resumes from the last token received.
func (c *Caller) Stream(ctx context.Context, entry label.Name, text string, maxTokens int, emit func(token string)) (connections int, err error) {
	s := &stream{caller: c, id: c.NewID(), emit: emit, request: completionRequest{Model: entry, Prompt: text, MaxTokens: maxTokens, Stream: true}}
	address := ""
	for attempt := 1; ; attempt++ {
		if address == "" {
			if address, err = c.nextAddress(ctx); err != nil {
				return attempt, err
			}
		}
		err = s.connect(ctx, address)
		if err == nil {
			c.resetFailures()
			return attempt, nil
		}
		if attempt >= c.MaxAttempts || !retryable(err) {
			return attempt, err
		}
		address = s.afterFailure(ctx, err)
		if ctx.Err() != nil {
			return attempt, err
		}
	}
}

// afterFailure marks the failure and returns the address that the reconnect event named. For other errors it waits and
// returns an empty string.
func (s *stream) afterFailure(ctx context.Context, err error) string {
	if r, ok := err.(*reconnectError); ok {
		s.caller.markFailed()
		return r.Address
	}
	s.caller.markFailed()
	_ = waitRetry(ctx, err)
	return ""
}

// retryable reports whether a model request may be retried after err.
func retryable(err error) bool {
	switch fault.KindOf(err) {
	case kind.BadRequest, kind.Unauthorized, kind.NotFound, kind.TooLarge, kind.Conflict:
		return false
	default:
		return true
	}
}

func (s *stream) connect(ctx context.Context, address string) error {
	s.request.Partial = s.tokens
	data, err := json.Marshal(s.request)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "encode the completion request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return fault.Wrap(kind.BadRequest, err, "cannot build a request to the entry host")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(accountHeader, string(s.caller.Account))
	req.Header.Set(requestIDHeader, s.id)
	if len(s.tokens) > 0 {
		req.Header.Set(lastEventHeader, strconv.Itoa(len(s.tokens)-1))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := s.caller.Client.Do(req)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "request to entry host %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return parseProblem(resp)
	}
	return s.read(resp)
}

func (s *stream) read(resp *http.Response) error {
	lines := bufio.NewScanner(resp.Body)
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
			done, err := s.handleEvent(event, id, value)
			if done || err != nil {
				return err
			}
			event = ""
		}
	}
	return fault.New(kind.Unavailable, "", "the stream ended early at token %d", len(s.tokens))
}

// handleEvent handles one server-sent event; done is true at the end of the answer. A token whose offset was already
// received is dropped.
func (s *stream) handleEvent(event string, id int, data string) (done bool, err error) {
	switch {
	case event == "reconnect":
		r := &reconnectError{}
		if err := json.Unmarshal([]byte(data), r); err != nil {
			return false, fault.Wrap(kind.Unavailable, err, "can't decode the reconnect event")
		}
		return false, r
	case event == "problem":
		e := &fault.Error{}
		if err := json.Unmarshal([]byte(data), e); err != nil {
			return false, fault.Wrap(kind.Unavailable, err, "can't decode the problem event")
		}
		return false, e
	case data == "[DONE]":
		return true, nil
	case id < len(s.tokens):
		return false, nil
	case id > len(s.tokens):
		return false, fault.New(kind.Unavailable, "", "received token %d, expected token %d", id, len(s.tokens))
	}
	var c streamChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) == 0 {
		return false, fault.New(kind.Unavailable, "", "can't decode the event of token %d", id)
	}
	s.request.Version = c.Version
	s.tokens = append(s.tokens, c.Choices[0].Text)
	s.emit(c.Choices[0].Text)
	return false, nil
}
