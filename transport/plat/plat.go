// Package plat is the HTTP client of the platform: its transactional table, host list and cloud API.
//
// The table is accessed through the JSON gateway of the etcd v3 API (/v3/kv/range, /v3/kv/txn). Support for another
// table needs changes in this package only.
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
	"github.com/dragonflyroute/dragonflyroute/protocol/scale"
	"github.com/dragonflyroute/dragonflyroute/protocol/table"
)

// maxResponseBytes is the maximum size of a response of the platform.
const maxResponseBytes = 16 << 20

// Client is a client of the platform.
//
// A write that may have been executed fails with kind OutcomeUnknown, other failed calls with Unavailable.
// All methods may be called concurrently.
type Client struct {
	// Base is the URL of the platform's services.
	Base string
	// Timeout bounds one request.
	Timeout time.Duration
	// Client is the HTTP client used for all requests.
	Client *http.Client

	mu sync.Mutex
	// etag is the entity tag (ETag) of the last host list.
	etag string
}

// The requests and responses of the etcd v3 JSON gateway.

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

// Read returns the row with the given key; a row that does not exist has version 0.
func (c *Client) Read(ctx context.Context, key string) (record.Record, error) {
	var resp rangeResponse
	if err := c.post(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &resp); err != nil {
		return record.Record{}, fault.Wrap(kind.Unavailable, err, "read row %s of the table", key)
	}
	if len(resp.KVs) == 0 {
		return record.Record{Key: key}, nil
	}
	row := resp.KVs[0]
	return record.Record{Key: key, Value: row.Value, Version: row.Version}, nil
}

// Commit executes one transaction and returns the version of the rows written, or 0 when a condition did not hold.
func (c *Client) Commit(ctx context.Context, t table.Txn) (int64, error) {
	versions, err := c.CommitAll(ctx, []table.Txn{t})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// CommitAll executes transactions in one commit and returns their versions in order. Conditions are evaluated for each
// transaction separately; one whose conditions do not hold has version 0.
func (c *Client) CommitAll(ctx context.Context, txns []table.Txn) ([]int64, error) {
	request := txnRequest{}
	for _, t := range txns {
		nested := encodeTxn(t)
		request.Success = append(request.Success, requestOp{Txn: &nested})
	}
	var resp txnResponse
	if err := c.post(ctx, "/v3/kv/txn", request, &resp); err != nil {
		return nil, err
	}
	if len(resp.Responses) != len(txns) {
		return nil, fault.New(kind.OutcomeUnknown, "", "the table returned the results of %d of %d transactions", len(resp.Responses), len(txns))
	}
	versions := make([]int64, len(txns))
	for i, r := range resp.Responses {
		if r.Txn != nil && r.Txn.Succeeded {
			versions[i] = resp.Header.Revision
		}
	}
	return versions, nil
}

// encodeTxn returns the etcd form of a transaction.
func encodeTxn(t table.Txn) txnRequest {
	var r txnRequest
	for _, c := range t.Conds {
		r.Compare = append(r.Compare, compare{Key: []byte(c.Key), Target: "MOD", Result: "EQUAL", Version: strconv.FormatInt(c.Version, 10)})
	}
	for _, write := range t.Writes {
		op := requestOp{Delete: &rangeRequest{Key: []byte(write.Key)}}
		if write.Value != nil {
			op = requestOp{Put: &putRequest{Key: []byte(write.Key), Value: write.Value}}
		}
		r.Success = append(r.Success, op)
	}
	return r
}

// Hosts returns the platform's host list, which may lag; changed is false when it is the same as at the last call.
//
// The request is conditional on the entity tag of the last list (If-None-Match, RFC 9110), so an unchanged list of any
// size costs one small response.
func (c *Client) Hosts(ctx context.Context) (rows []roster.Row, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+"/hosts", nil)
	if err != nil {
		return nil, false, fault.Wrap(kind.Internal, err, "build request to the platform")
	}
	c.mu.Lock()
	r.Header.Set("If-None-Match", c.etag)
	c.mu.Unlock()
	resp, err := c.Client.Do(r)
	if err != nil {
		return nil, false, fault.Wrap(kind.Unavailable, err, "the platform did not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return nil, false, nil
	}
	if err := read(resp, &rows); err != nil {
		return nil, false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag = resp.Header.Get("ETag")
	return rows, true, nil
}

// Register adds an entry host to the host list, or updates its row.
func (c *Client) Register(ctx context.Context, row roster.Row) error {
	return c.post(ctx, "/hosts", row, &struct{}{})
}

// Offers returns the cloud's current offers for all back ends.
func (c *Client) Offers(ctx context.Context) ([]offer.Offer, error) {
	var offers []offer.Offer
	return offers, c.get(ctx, "/cloud/offers", &offers)
}

// SetDesired sends the desired number of hosts of a back end in one data centre. It fails with kind Conflict when the
// platform has an order with a later fencing number.
func (c *Client) SetDesired(ctx context.Context, desired scale.Desired) error {
	return c.post(ctx, "/cloud/wishes", desired, &struct{}{})
}

func (c *Client) get(ctx context.Context, path string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.Base+path, nil)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "build request to the platform")
	}
	return c.do(r, result)
}

func (c *Client) post(ctx context.Context, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "encode request")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Base+path, bytes.NewReader(data))
	if err != nil {
		return fault.Wrap(kind.Internal, err, "build request to the platform")
	}
	r.Header.Set("Content-Type", "application/json")
	return c.do(r, result)
}

// do sends a request and decodes the response into result; without a response the outcome is unknown.
func (c *Client) do(r *http.Request, result any) error {
	resp, err := c.Client.Do(r)
	if err != nil {
		return fault.Wrap(kind.OutcomeUnknown, err, "the platform did not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	return read(resp, result)
}

// read decodes a response of the platform into result.
func read(resp *http.Response, result any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(kind.OutcomeUnknown, err, "the platform's response was truncated")
	}
	if resp.StatusCode == http.StatusConflict {
		return fault.New(kind.Conflict, "fence", "the platform has an order with a later fencing number")
	}
	if resp.StatusCode != http.StatusOK {
		return fault.New(kind.Unavailable, "", "the platform answered with status %d", resp.StatusCode)
	}
	return fault.Wrap(kind.OutcomeUnknown, json.Unmarshal(data, result), "decode the platform's response")
}
