package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// operatorTimeout bounds one request to an entry host.
const operatorTimeout = 15 * time.Second

// operatorFlags are the flags of operators' commands: the entry host to send requests to and the operator key.
type operatorFlags struct {
	At  string `default:"127.0.0.1:8101" env:"DRAGONFLYROUTE_AT" placeholder:"ADDRESS" help:"IP address and port of an entry host."`
	Key string `required:"" env:"DRAGONFLYROUTE_KEY" help:"Operator key."`
}

// call sends one request to the operator API and decodes the response into result. A body of bytes is sent as it is,
// any other as JSON. A refusal is returned as the error that the entry host sent.
func (o *operatorFlags) call(ctx context.Context, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	data, ok := body.([]byte)
	if !ok && body != nil {
		var err error
		data, err = json.Marshal(body)
		if err != nil {
			return fault.Wrap(kind.Internal, err, "encode request")
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+o.At+path, bytes.NewReader(data))
	if err != nil {
		return fault.Wrap(kind.BadRequest, err, "request to the address of --at")
	}
	r.Header.Set("Authorization", "Bearer "+o.Key)
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "request to entry host %s", o.At)
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return fault.Wrap(kind.OutcomeUnknown, err, "read response of entry host %s", o.At)
	}
	if resp.StatusCode != http.StatusOK {
		refusal := &fault.Error{}
		if err := json.Unmarshal(respBody, refusal); err != nil {
			return fault.New(kind.Internal, "", "entry host %s answered with status %d", o.At, resp.StatusCode)
		}
		return refusal
	}
	return fault.Wrap(kind.Internal, json.Unmarshal(respBody, result), "decode response of entry host %s", o.At)
}
