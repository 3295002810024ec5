package front

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// refuse answers with a problem document, and a Retry-After header when the error has one.
func (f *Front) refuse(c iris.Context, err error) {
	e := fault.From(err)
	f.Log.Debug("request refused", "method", c.Method(), "path", c.Path(), "kind", e.Kind.String(), "error", err)
	f.Meter.Count("refusals_total", 1)
	w := c.ResponseWriter()
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", fault.ContentType)
	w.WriteHeader(e.Kind.Status())
	_ = json.NewEncoder(w).Encode(e)
}

func writeJSON(c iris.Context, v any) {
	w := c.ResponseWriter()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readBody reads the body up to the size limit and then clears the connection's read deadline, which would otherwise
// end a long stream. It returns errors of kind TooLarge and BadRequest.
func (f *Front) readBody(c iris.Context) ([]byte, error) {
	w := c.ResponseWriter().Naive()
	data, err := io.ReadAll(http.MaxBytesReader(w, c.Request().Body, f.Settings.Bounds.MaxBodyBytes))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, fault.New(kind.TooLarge, "body", "the body exceeds the limit of %d bytes", large.Limit)
	}
	if err != nil {
		return nil, fault.Wrap(kind.BadRequest, err, "the body could not be read within %s", f.Settings.Bounds.ReadTimeout.Duration())
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return data, nil
}
