package main

import (
	"cmp"
	"slices"
	"strconv"
)

// The messages have the JSON encoding of the etcd v3 API.

type kv struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

type rangeRequest struct {
	Key []byte `json:"key"`
}

type rangeResponse struct {
	KVs []kv `json:"kvs,omitempty"`
}

type compare struct {
	Key         []byte `json:"key"`
	ModRevision string `json:"mod_revision"`
}

type requestOp struct {
	Put    *kvPut        `json:"requestPut"`
	Delete *rangeRequest `json:"requestDeleteRange"`
	Txn    *txnRequest   `json:"requestTxn"`
}

type kvPut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []requestOp `json:"success"`
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type responseOp struct {
	Txn *txnResponse `json:"responseTxn,omitempty"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []responseOp `json:"responses"`
}

type table struct {
	revision int64
	rows     map[string]kv
}

func (t *table) get(key string) rangeResponse {
	row, ok := t.rows[key]
	if !ok {
		return rangeResponse{}
	}
	return rangeResponse{KVs: []kv{row}}
}

func (t *table) commit(q txnRequest) txnResponse {
	t.revision++
	return t.apply(q)
}

func (t *table) apply(q txnRequest) txnResponse {
	response := txnResponse{Header: header{Revision: t.revision}, Succeeded: t.conditionsHold(q.Compare)}
	if !response.Succeeded {
		return response
	}
	for _, op := range q.Success {
		response.Responses = append(response.Responses, t.applyOp(op))
	}
	return response
}

func (t *table) conditionsHold(conditions []compare) bool {
	return !slices.ContainsFunc(conditions, func(c compare) bool {
		return strconv.FormatInt(t.rows[string(c.Key)].ModRevision, 10) != cmp.Or(c.ModRevision, "0")
	})
}

func (t *table) applyOp(op requestOp) responseOp {
	switch {
	case op.Put != nil:
		if t.rows == nil {
			t.rows = map[string]kv{}
		}
		t.rows[string(op.Put.Key)] = kv{Key: op.Put.Key, Value: op.Put.Value, ModRevision: t.revision}
	case op.Delete != nil:
		delete(t.rows, string(op.Delete.Key))
	case op.Txn != nil:
		nested := t.apply(*op.Txn)
		return responseOp{Txn: &nested}
	}
	return responseOp{}
}
