package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/dragonflyroute/dragonflyroute/protocol/deploy"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// fenceHeader carries the fencing number of an engine order.
const fenceHeader = "X-Fencing-Number"

// weightsRequest is the body of SGLang's /update_weights_from_disk request, which makes an engine load other weights.
type weightsRequest struct {
	ModelPath string `json:"model_path"`
}

// Assign orders an engine to serve a version. It fails with kind Conflict when the engine has an order with a later
// fencing number.
func (c *Client) Assign(ctx context.Context, order deploy.Order, fence int64) error {
	data, err := json.Marshal(weightsRequest{ModelPath: string(order.Version)})
	if err != nil {
		return fault.Wrap(kind.Internal, err, "encode engine order")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+order.Address+"/update_weights_from_disk", bytes.NewReader(data))
	if err != nil {
		return fault.Wrap(kind.Internal, err, "send order to engine %s", order.Endpoint)
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(fenceHeader, strconv.FormatInt(fence, 10))
	resp, err := c.Client.Do(r)
	if err != nil {
		return fault.Wrap(kind.Unavailable, err, "send order to engine %s", order.Endpoint)
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return fault.New(kind.Conflict, "fence", "engine %s has an order with a later fencing number than %d", order.Endpoint, fence)
	default:
		return fault.New(kind.Unavailable, "", "engine %s answered an order with status %d", order.Endpoint, resp.StatusCode)
	}
}
