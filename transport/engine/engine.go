// Package engine is the HTTP client of model engines.
//
// Generation uses the OpenAI-compatible completions API of model engines (POST /v1/completions, server-sent events).
// Load is read from their Prometheus metrics, under vLLM's metric names.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/infer"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

const (
	// quickPriority and longPriority are the scheduling priorities of requests on an engine; lower runs first.
	quickPriority = 0
	longPriority  = 10
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 1 << 20
	// requestIDHeader carries the request's id.
	requestIDHeader = "X-Request-Id"
	// saltField is the request field with the cache salt of the request's KV blocks; cache events carry the salt too.
	saltField = "cache_salt"
	// timeoutHeader carries the time left until the request's deadline, in milliseconds.
	timeoutHeader = "X-Request-Timeout-Ms"
)

// Client is a client of model engines. All methods may be called concurrently.
type Client struct {
	// Client is the HTTP client used for all requests.
	Client *http.Client
}

// kvTransfer holds vLLM's KV transfer parameters: the engine fetches the prompt's KV cache from another engine, and
// falls back to its own prefill when it can't.
type kvTransfer struct {
	Prefill bool   `json:"do_remote_prefill"`
	Engine  string `json:"remote_engine_id"`
	Host    string `json:"remote_host"`
	Port    string `json:"remote_port"`
}

// completionChunk is one event of a completion stream.
type completionChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptDetails *struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// Generate performs one attempt and calls emit for each token; it returns at the end of the stream.
//
// Each chunk of the stream is one token. A stream that ends without the [DONE] event is an error of kind OutcomeUnknown,
// as the engine had begun to answer.
func (c *Client) Generate(ctx context.Context, s *server.Server, req infer.Request, emit func(token string) error) error {
	r, err := request(ctx, s.Row().Address, req)
	if err != nil {
		return err
	}
	resp, err := c.Client.Do(r)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "request to engine %s", s.Row().ID)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fault.New(kind.Unavailable, "", "engine %s answered status %d", s.Row().ID, resp.StatusCode)
	}
	return readStream(resp, emit, func(cached int) { s.Cached().ObserveResult(req.PrefixProbability, cached > 0) })
}

// request builds the completion request of one attempt.
func request(ctx context.Context, address string, req infer.Request) (*http.Request, error) {
	body := map[string]any{}
	for name, value := range req.Extra {
		body[name] = value
	}
	body["model"] = req.Model
	body["prompt"] = req.Text
	body["max_tokens"] = req.MaxTokens
	body["stream"] = true
	body["stream_options"] = map[string]bool{"include_usage": true}
	body["priority"] = Priority(req.Class)
	if _, given := body[saltField]; !given {
		body[saltField] = salt(req.Prefix)
	}
	if host, port, err := net.SplitHostPort(req.KVSource); err == nil {
		body["kv_transfer_params"] = kvTransfer{Prefill: true, Engine: req.ID, Host: host, Port: port}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Wrap(kind.Internal, err, "encode completion request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return nil, fault.Wrap(kind.Internal, err, "completion request to an engine")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(requestIDHeader, req.ID)
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(timeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(r.Header))
	return r, nil
}

// Priority returns the engine's scheduling priority for a class of requests; lower runs first.
func Priority(c class.Class) int {
	if c == class.Quick {
		return quickPriority
	}
	return longPriority
}

// readStream reads a completion stream up to its [DONE] event; onCached gets the number of prompt tokens that the
// engine had in its prefix cache, if the engine reports it.
func readStream(resp *http.Response, emit func(token string) error, onCached func(tokens int)) error {
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return nil
		}
		if err := readChunk(data, emit, onCached); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fault.Wrap(kind.OutcomeUnknown, err, "completion stream interrupted")
	}
	return fault.New(kind.OutcomeUnknown, "", "completion stream ended without the [DONE] event")
}

// readChunk decodes one event of a completion stream and emits its tokens.
func readChunk(data string, emit func(token string) error, onCached func(tokens int)) error {
	var c completionChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return fault.Wrap(kind.Unavailable, err, "decode event of a completion stream")
	}
	if c.Usage != nil && c.Usage.PromptDetails != nil {
		onCached(c.Usage.PromptDetails.CachedTokens)
	}
	for _, choice := range c.Choices {
		if choice.Text == "" {
			continue
		}
		if err := emit(choice.Text); err != nil {
			return err
		}
	}
	return nil
}
