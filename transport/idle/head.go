package idle

import (
	"net"
	"time"
)

const (
	// maxHeadLines bounds the lines of a head: each header field costs memory beside its bytes.
	maxHeadLines = 256
	// headSlack is how far a head may exceed the largest size, in bytes.
	headSlack = 4 << 10
)

// headScanner counts the lines and bytes of a request's head as it arrives.
type headScanner struct {
	lines, bytes int
	// lineBytes is the number of bytes of the present line, without carriage returns.
	lineBytes int
	// ended is set from the end of the head to the end of its answer.
	ended bool
}

// scan adds bytes that have arrived and reports whether the head is within its limits.
func (h *headScanner) scan(p []byte, maxBytes int) bool {
	for _, b := range p {
		if h.ended {
			break
		}
		h.add(b)
	}
	return h.lines <= maxHeadLines && (maxBytes <= 0 || h.bytes <= maxBytes+headSlack)
}

func (h *headScanner) add(b byte) {
	h.bytes++
	switch b {
	case '\r':
	case '\n':
		h.ended = h.lineBytes == 0 && h.lines > 0
		h.lines++
		h.lineBytes = 0
	default:
		h.lineBytes++
	}
}

// maxHead returns the largest size of a head in bytes, 0 for no limit.
func (c *Closer) maxHead() int {
	if c.MaxHead == nil {
		return 0
	}
	return c.MaxHead()
}

// beginHead begins to count the head of a connection's next request.
func beginHead(of net.Conn) {
	if c, ok := of.(*conn); ok {
		*c.head = headScanner{}
	}
}

// endHead ends the count of a head that has been read, and lets its connection go on if it was to end before.
func endHead(of net.Conn) {
	c, ok := of.(*conn)
	if !ok {
		return
	}
	c.head.ended = true
	if c.ended.Swap(false) {
		_ = c.SetReadDeadline(time.Time{})
	}
}
