package site

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/client"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/rules"
	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
	"github.com/dragonflyroute/dragonflyroute/state/target"
)

const (
	// explainPath is the path of the explanations on the listener for metrics.
	explainPath = "/explain"
	// explainTimeout is the deadline of an explained request whose route has no timeout.
	explainTimeout = 30 * time.Second
	// explainRetryAfter is the Retry-After while another explanation is being made.
	explainRetryAfter = time.Second
	// maxParts bounds the parts of a prompt that is explained.
	maxParts = 256
)

// explanations serves explanations of where a request would go. It makes one at a time, so that they take no more than a
// part of one processor from requests.
type explanations struct {
	site *Site
	mu   sync.Mutex
}

// internalHandler returns the handler of the listener for metrics.
func (s *Site) internalHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", s.Meter.Handler())
	m.Handle("GET "+explainPath, &explanations{site: s})
	return m
}

// ServeHTTP answers with the result for each back end of the route, as JSON.
func (e *explanations) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	results, err := e.explain(r.Context(), r.URL.Query())
	if err != nil {
		problem := fault.From(err)
		w.Header().Set("Content-Type", fault.ContentType)
		w.WriteHeader(problem.Kind.Status())
		_ = json.NewEncoder(w).Encode(problem)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(results)
}

func (e *explanations) explain(ctx context.Context, q url.Values) ([]dryrun.Result, error) {
	if !e.mu.TryLock() {
		return nil, fault.New(kind.Unavailable, "", "another explanation is being made").WithRetryAfter(explainRetryAfter)
	}
	defer e.mu.Unlock()
	cfg := e.site.Policy.Rules()
	if cfg == nil {
		return nil, fault.New(kind.Unavailable, "", "no configuration received yet").WithRetryAfter(explainRetryAfter)
	}
	w, err := describedRequest(cfg, q, time.Now())
	if err != nil {
		return nil, err
	}
	var out []dryrun.Result
	for _, part := range w.Route.Backends {
		w.Backend = label.Name(part.Name)
		result := e.site.Proxy.Explain(ctx, placements{e.site}, w)
		result.Fraction = part.Fraction
		result.Host = cmp.Or(result.Host, e.site.Host)
		out = append(out, result)
	}
	return out, nil
}

// describedRequest returns the request that a query describes; it returns a BadRequest or NotFound error for one that describes
// none.
func describedRequest(cfg *rules.Config, q url.Values, now time.Time) (*work.Request, error) {
	name := label.Name(q.Get("route"))
	i := slices.IndexFunc(cfg.Routes, func(r path.Route) bool { return r.Name == name })
	if i < 0 {
		return nil, fault.New(kind.NotFound, "route", "%q is not in the configuration", name)
	}
	route := &cfg.Routes[i]
	w := &work.Request{Route: route, Revision: cfg.Revision, Priority: route.Priority, Received: now, Deadline: now.Add(cmp.Or(route.Timeout, explainTimeout))}
	if err := setAccount(w, cfg, acct.ID(q.Get("account"))); err != nil {
		return nil, err
	}
	return w, setPrompt(w, q)
}

// setAccount sets a request's account, if it names one, and the account's priority.
func setAccount(w *work.Request, cfg *rules.Config, id acct.ID) error {
	if id == "" {
		return nil
	}
	i := slices.IndexFunc(cfg.Accounts, func(c client.Account) bool { return c.Name == id })
	if i < 0 {
		return fault.New(kind.NotFound, "account", "%q is not in the configuration", id)
	}
	w.Account = id
	if cfg.Accounts[i].PrioritySet {
		w.Priority = cfg.Accounts[i].Priority
	}
	return nil
}

// setPrompt sets the lengths and the parts of a request's prompt.
func setPrompt(w *work.Request, q url.Values) (err error) {
	if w.PromptTokens, err = tokens("tokens", q.Get("tokens")); err != nil {
		return err
	}
	if w.OutTokens, err = tokens("out", q.Get("out")); err != nil {
		return err
	}
	if q.Get("parts") == "" {
		return nil
	}
	parts := strings.Split(q.Get("parts"), ",")
	if len(parts) > maxParts {
		return fault.New(kind.BadRequest, "parts", "are %d, more than %d", len(parts), maxParts)
	}
	sum := int64(0)
	for _, part := range parts {
		id, length, _ := strings.Cut(part, ":")
		hash, err := strconv.ParseUint(id, 16, 64)
		if err != nil {
			return fault.New(kind.BadRequest, "parts", "%q does not begin with a hexadecimal number of 64 bits", part)
		}
		n, err := tokens("parts", length)
		if err != nil {
			return err
		}
		w.AddPart(hash, n)
		w.Shared = append(w.Shared, hash)
		sum += n
	}
	w.Shared = w.Shared[:len(parts)-1]
	w.PromptTokens = cmp.Or(w.PromptTokens, sum)
	if sum > w.PromptTokens {
		return fault.New(kind.BadRequest, "parts", "have %d tokens, more than the prompt's %d", sum, w.PromptTokens)
	}
	return nil
}

// maxTokens bounds the tokens of a prompt or an answer that is explained.
const maxTokens = 1 << 30

// tokens returns a number of tokens, 0 for an empty text.
func tokens(field, text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > maxTokens {
		return 0, fault.New(kind.BadRequest, field, "%q is not a number of tokens from 0 to %d", text, maxTokens)
	}
	return n, nil
}

// placements explains the placements of the keepers.
type placements struct{ s *Site }

// Explain returns the keeper's choice for a request at one of a back end's endpoints; ok is false if there is none.
func (p placements) Explain(ctx context.Context, w *work.Request, all []*target.Target) (r dryrun.Result, ok bool) {
	return p.s.placer.Explain(ctx, exchange{p.s}, w, all)
}

// Explain returns where a host, which may be this one, would place a request at present.
func (e exchange) Explain(ctx context.Context, h beat.Heartbeat, t task.Task) (dryrun.Result, error) {
	if h.Host == e.Host {
		return e.ledger.Explain(t), nil
	}
	return e.peers.Explain(ctx, h.PeerAddress, t)
}

// gaugeWork updates the gauges of the work that this host knows as a keeper.
func (s *Site) gaugeWork() {
	running, unread, unevenness := s.ledger.Work()
	s.Meter.Gauge("kept_running_requests", float64(running))
	s.Meter.Gauge("kept_unread_tokens", float64(unread))
	s.Meter.Gauge("kept_unevenness", unevenness)
}
