package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/dragonflyroute/dragonflyroute/protocol/duty"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// fenceHeader carries the fencing number of an order.
const fenceHeader = "X-Fencing-Number"

// weights asks an engine to load other weights, in the form that SGLang publishes.
type weights struct {
	ModelPath string `json:"model_path"`
}

// Assign orders an engine to serve a version; a Conflict tells that a later holder has ordered.
func (e *Engine) Assign(ctx context.Context, d duty.Duty, fence int64) error {
	data, err := json.Marshal(weights{ModelPath: string(d.Version)})
	if err != nil {
		return fault.Wrap(kind.Internal, err, "order is not writable")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.Address+"/update_weights_from_disk", bytes.NewReader(data))
	if err != nil {
		return fault.Wrap(kind.Internal, err, "order to %s", d.Endpoint)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(fenceHeader, strconv.FormatInt(fence, 10))
	w, err := e.Client.Do(r)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "order to %s", d.Endpoint)
	}
	defer func() { _ = w.Body.Close() }()
	switch w.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return fault.New(kind.Conflict, "fence", "engine %s has an order with a later number than %d", d.Endpoint, fence)
	default:
		return fault.New(kind.Unavailable, "", "engine %s answered status %d to an order", d.Endpoint, w.StatusCode)
	}
}
