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

const operatorTimeout = 15 * time.Second

// operatorFlags say which entry host an operator's command talks to, and with which key.
type operatorFlags struct {
	At  string `default:"127.0.0.1:8101" env:"DRAGONFLYROUTE_AT" placeholder:"ADDRESS" help:"IP number and port of an entry host."`
	Key string `required:"" env:"DRAGONFLYROUTE_KEY" help:"Operator key."`
}

// call sends one operator's request and reads the answer into result.
func (o *operatorFlags) call(ctx context.Context, method, path string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	data, ok := body.([]byte)
	if !ok && body != nil {
		var err error
		data, err = json.Marshal(body)
		if err != nil {
			return fault.Wrap(kind.Internal, err, "request")
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+o.At+path, bytes.NewReader(data))
	if err != nil {
		return fault.Wrap(kind.BadRequest, err, "at")
	}
	r.Header.Set("Authorization", "Bearer "+o.Key)
	r.Header.Set("Content-Type", "application/json")
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "entry host %s", o.At)
	}
	defer func() { _ = w.Body.Close() }()
	answer, err := io.ReadAll(w.Body)
	if err != nil {
		return fault.Wrap(kind.OutcomeUnknown, err, "answer of %s", o.At)
	}
	if w.StatusCode != http.StatusOK {
		refused := &fault.Error{}
		if err := json.Unmarshal(answer, refused); err != nil {
			return fault.New(kind.Internal, "", "entry host %s answered status %d", o.At, w.StatusCode)
		}
		return refused
	}
	return fault.Wrap(kind.Internal, json.Unmarshal(answer, result), "answer of %s", o.At)
}
