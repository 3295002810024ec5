package verify

import (
	"bytes"
	"strings"
	"sync"
)

// current begins the status line of most answers; a digit follows.
const current = "HTTP/1.1 "

// rawHead records the bytes of an answer's head, as net/http drops a field that shows a faulty framing. It records nothing of a
// final answer of HTTP/1.1.
type rawHead struct {
	// mu is held because bytes behind an answer without a body may arrive while its head is looked at.
	mu    sync.Mutex
	bytes []byte
	// skipped is set once the answer needs no record.
	skipped bool
}

// add records what a read has returned, which may contain bytes behind the head.
func (h *rawHead) add(data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.skipped {
		return
	}
	if len(h.bytes) == 0 && isCurrent(data) {
		h.skipped = true
		return
	}
	h.bytes = append(h.bytes, data...)
}

// isCurrent reports whether an answer that begins with data is a final one of HTTP/1.1.
func isCurrent(data []byte) bool {
	rest, ok := bytes.CutPrefix(data, []byte(current))
	return ok && len(rest) > 0 && !isInterim(rest)
}

// isInterim reports whether the rest of a status line behind the version begins with an interim status.
func isInterim(rest []byte) bool { return bytes.HasPrefix(rest, []byte("1")) }

// hasTransferEncoding reports whether the head of the final answer among the recorded ones has a transfer encoding.
func (h *rawHead) hasTransferEncoding() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	interim := false
	for i, line := range bytes.Split(h.bytes, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, _, isField := bytes.Cut(line, []byte(":"))
		switch {
		case i == 0 || bytes.HasPrefix(line, []byte("HTTP/")):
			_, status, _ := bytes.Cut(line, []byte(" "))
			interim = isInterim(status)
		case len(line) == 0 && !interim:
			return false
		case isField && !interim && strings.EqualFold(string(name), "Transfer-Encoding"):
			return true
		}
	}
	return false
}
