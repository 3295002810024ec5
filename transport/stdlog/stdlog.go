// Package stdlog passes on what libraries write to the standard logger, which is unbounded and blocks by default.
package stdlog

import (
	"bytes"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// maxLineBytes bounds the part of a line that is passed on: net/http quotes whatever bytes an endpoint has sent.
	maxLineBytes = 200
	// interval is the time within which at most one line is passed on.
	interval = time.Second
)

// Writer is the output of a standard logger. It passes on the beginning of a line now and then, with the number of lines that
// were left out since the one before.
//
// Write may be called concurrently.
type Writer struct {
	// Log takes the lines; it must not block.
	Log hclog.Logger
	// Now returns the time.
	Now func() time.Time

	mu      sync.Mutex
	last    time.Time
	omitted int
}

// Write passes a line on or leaves it out. It returns no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Now()
	if now.Sub(w.last) < interval {
		w.omitted++
		return len(line), nil
	}
	text := bytes.TrimSpace(line)
	w.Log.Warn("message of a library", "text", string(text[:min(len(text), maxLineBytes)]), "bytes", len(text), "omitted", w.omitted)
	w.last, w.omitted = now, 0
	return len(line), nil
}
