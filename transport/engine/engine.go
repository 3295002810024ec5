// Package engine reaches model engines.
//
// Generation uses the completions API that model engines publish (POST /v1/completions, server-sent events);
// load comes from their Prometheus metrics under the names that vLLM publishes.
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
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/order"
	"github.com/dragonflyroute/dragonflyroute/state/server"
)

const (
	// quickPriority and longPriority order work on an engine; lower is sooner.
	quickPriority = 0
	longPriority  = 10
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 1 << 20
	// requestIDHeader carries the request's id.
	requestIDHeader = "X-Request-Id"
	// saltField names the salt of a request's blocks in an engine's cache, which its cache events name too.
	saltField = "cache_salt"
	// timeoutHeader tells an engine how many milliseconds are left for the answer.
	timeoutHeader = "X-Request-Timeout-Ms"
)

// Engine is a client of model engines. All methods may be called concurrently.
type Engine struct {
	// Client sends requests.
	Client *http.Client
}

// transfer asks an engine to fetch the KV cache from another one, in the form that vLLM publishes; an engine that
// can't falls back to its own prefill.
type transfer struct {
	Prefill bool   `json:"do_remote_prefill"`
	Engine  string `json:"remote_engine_id"`
	Host    string `json:"remote_host"`
	Port    string `json:"remote_port"`
}

type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptDetails *struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// Generate carries out one attempt and calls emit for each token; it returns when the stream has ended.
//
// Each chunk of the stream is one token. A stream that ends without its end mark is an error.
func (e *Engine) Generate(ctx context.Context, s *server.Server, g order.Order, emit func(token string) error) error {
	r, err := request(ctx, s.Row().Address, g)
	if err != nil {
		return err
	}
	w, err := e.Client.Do(r)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "engine %s", s.Row().ID)
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		return fault.New(kind.Unavailable, "", "engine %s answered status %d", s.Row().ID, w.StatusCode)
	}
	return readEvents(w, emit, func(cached int) { s.Cached().ObserveResult(g.PrefixChance, cached > 0) })
}

func request(ctx context.Context, address string, g order.Order) (*http.Request, error) {
	body := map[string]any{}
	for name, value := range g.Extra {
		body[name] = value
	}
	body["model"] = g.Model
	body["prompt"] = g.Text
	body["max_tokens"] = g.MaxTokens
	body["stream"] = true
	body["stream_options"] = map[string]bool{"include_usage": true}
	body["priority"] = Priority(g.Class)
	if _, own := body[saltField]; !own {
		body[saltField] = salt(g.Prefix)
	}
	if name, port, err := net.SplitHostPort(g.KeptBy); err == nil {
		body["kv_transfer_params"] = transfer{Prefill: true, Engine: g.ID, Host: name, Port: port}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, fault.Wrap(kind.Internal, err, "request is not writable")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(data))
	if err != nil {
		return nil, fault.Wrap(kind.Internal, err, "request to an engine")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(requestIDHeader, g.ID)
	if deadline, ok := ctx.Deadline(); ok {
		r.Header.Set(timeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(r.Header))
	return r, nil
}

// Priority returns the priority that engines get for a class of work; lower is sooner.
func Priority(c class.Class) int {
	if c == class.Quick {
		return quickPriority
	}
	return longPriority
}

func readEvents(w *http.Response, emit func(token string) error, cached func(tokens int)) error {
	lines := bufio.NewScanner(w.Body)
	lines.Buffer(nil, maxEvent)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return nil
		}
		if err := readChunk(data, emit, cached); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fault.Wrap(kind.Unavailable, err, "the stream broke")
	}
	return fault.New(kind.Unavailable, "", "the stream ended without its end mark")
}

func readChunk(data string, emit func(token string) error, cached func(tokens int)) error {
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return fault.Wrap(kind.Unavailable, err, "an event is not readable")
	}
	if c.Usage != nil && c.Usage.PromptDetails != nil {
		cached(c.Usage.PromptDetails.CachedTokens)
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
