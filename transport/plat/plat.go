// Package plat reaches the platform: its transactional table and its list of hosts.
//
// The table is spoken to in the published JSON form of the etcd v3 API (/v3/kv/range, /v3/kv/txn); another
// table replaces this package and nothing else.
package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/offer"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
	"github.com/dragonflyroute/dragonflyroute/protocol/wish"
)

// maxAnswer bounds an answer of the platform, in bytes.
const maxAnswer = 16 << 20

// Plat is a client of the platform.
//
// A write that may have been carried out fails with kind OutcomeUnknown, everything else with Unavailable.
// All methods may be called concurrently.
type Plat struct {
	// Base is the URL of the platform's services.
	Base string
	// Timeout bounds one request.
	Timeout time.Duration
	// Client sends requests.
	Client *http.Client

	mu sync.Mutex
	// tag is the entity tag of the last host list.
	tag string
}

type kv struct {
	Key     []byte `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"mod_revision,string"`
}

type rangeRequest struct {
	Key []byte `json:"key"`
}

type rangeResponse struct {
	KVs []kv `json:"kvs"`
}

type compare struct {
	Key     []byte `json:"key"`
	Target  string `json:"target"`
	Result  string `json:"result"`
	Version string `json:"mod_revision"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type requestOp struct {
	Put    *putRequest   `json:"requestPut,omitempty"`
	Delete *rangeRequest `json:"requestDeleteRange,omitempty"`
	Txn    *txnRequest   `json:"requestTxn,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
}

type txnResponse struct {
	Header struct {
		Revision int64 `json:"revision,string"`
	} `json:"header"`
	Succeeded bool `json:"succeeded"`
	Responses []struct {
		Txn *txnResponse `json:"responseTxn"`
	} `json:"responses"`
}

// Read returns one row; an absent row has version 0.
func (p *Plat) Read(ctx context.Context, key string) (record.Record, error) {
	var answer rangeResponse
	if err := p.post(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &answer); err != nil {
		return record.Record{}, fault.Wrap(kind.Unavailable, err, "read of %s", key)
	}
	if len(answer.KVs) == 0 {
		return record.Record{Key: key}, nil
	}
	row := answer.KVs[0]
	return record.Record{Key: key, Value: row.Value, Version: row.Version}, nil
}

// Commit carries out one transaction and returns the version of the rows written, or 0 when a condition failed.
func (p *Plat) Commit(ctx context.Context, t table.Txn) (int64, error) {
	versions, err := p.CommitAll(ctx, []table.Txn{t})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// CommitAll carries out transactions in one commit; each one's conditions hold or fail on their own.
func (p *Plat) CommitAll(ctx context.Context, txns []table.Txn) ([]int64, error) {
	request := txnRequest{}
	for _, t := range txns {
		nested := encode(t)
		request.Success = append(request.Success, requestOp{Txn: &nested})
	}
	var answer txnResponse
	if err := p.post(ctx, "/v3/kv/txn", request, &answer); err != nil {
		return nil, err
	}
	if len(answer.Responses) != len(txns) {
		return nil, fault.New(kind.OutcomeUnknown, "", "the table answered %d of %d transactions", len(answer.Responses), len(txns))
	}
	versions := make([]int64, len(txns))
	for i, r := range answer.Responses {
		if r.Txn != nil && r.Txn.Succeeded {
			versions[i] = answer.Header.Revision
		}
	}
	return versions, nil
}

func encode(t table.Txn) txnRequest {
	var r txnRequest
	for _, c := range t.Conds {
		r.Compare = append(r.Compare, compare{Key: []byte(c.Key), Target: "MOD", Result: "EQUAL", Version: strconv.FormatInt(c.Version, 10)})
	}
	for _, w := range t.Writes {
		op := requestOp{Delete: &rangeRequest{Key: []byte(w.Key)}}
		if w.Value != nil {
			op = requestOp{Put: &putRequest{Key: []byte(w.Key), Value: w.Value}}
		}
		r.Success = append(r.Success, op)
	}
	return r
}

// Hosts returns the platform's lagging list of hosts; changed is false when it is the same as at the last call.
//
// The list is asked for with the entity tag of the last one (RFC 9110), so an unchanged list of any size costs one
// small answer.
func (p *Plat) Hosts(ctx context.Context) (rows []roster.Row, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.Base+"/hosts", nil)
	if err != nil {
		return nil, false, fault.Wrap(kind.Internal, err, "request to the platform")
	}
	p.mu.Lock()
	r.Header.Set("If-None-Match", p.tag)
	p.mu.Unlock()
	w, err := p.Client.Do(r)
	if err != nil {
		return nil, false, fault.Wrap(kind.Unavailable, err, "the platform did not answer")
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode == http.StatusNotModified {
		return nil, false, nil
	}
	if err := read(w, &rows); err != nil {
		return nil, false, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tag = w.Header.Get("ETag")
	return rows, true, nil
}

// Join lists an entry host, or changes its row.
func (p *Plat) Join(ctx context.Context, row roster.Row) error {
	return p.post(ctx, "/hosts", row, &struct{}{})
}

// Offers returns what the cloud offers for all back ends.
func (p *Plat) Offers(ctx context.Context) ([]offer.Offer, error) {
	var offers []offer.Offer
	return offers, p.get(ctx, "/cloud/offers", &offers)
}

// SetDesired sends one order for hosts; a Conflict tells that a later buyer has ordered.
func (p *Plat) SetDesired(ctx context.Context, w wish.Wish) error {
	return p.post(ctx, "/cloud/wishes", w, &struct{}{})
}

func (p *Plat) get(ctx context.Context, path string, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, p.Base+path, nil)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "request to the platform")
	}
	return p.do(r, answer)
}

func (p *Plat) post(ctx context.Context, path string, body, answer any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "request is not writable")
	}
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, p.Base+path, bytes.NewReader(data))
	if err != nil {
		return fault.Wrap(kind.Internal, err, "request to the platform")
	}
	r.Header.Set("Content-Type", "application/json")
	return p.do(r, answer)
}

func (p *Plat) do(r *http.Request, answer any) error {
	w, err := p.Client.Do(r)
	if err != nil {
		return fault.Wrap(kind.OutcomeUnknown, err, "the platform did not answer")
	}
	defer func() { _ = w.Body.Close() }()
	return read(w, answer)
}

func read(w *http.Response, answer any) error {
	data, err := io.ReadAll(io.LimitReader(w.Body, maxAnswer))
	if err != nil {
		return fault.Wrap(kind.OutcomeUnknown, err, "the platform's answer broke off")
	}
	if w.StatusCode == http.StatusConflict {
		return fault.New(kind.Conflict, "fence", "a later holder has ordered")
	}
	if w.StatusCode != http.StatusOK {
		return fault.New(kind.Unavailable, "", "the platform answered status %d", w.StatusCode)
	}
	return fault.Wrap(kind.OutcomeUnknown, json.Unmarshal(data, answer), "the platform's answer is not readable")
}
