package idle

import (
	"net"
	"time"
)

const (
	// maxHeadLines is the number of lines above which a head is long: each header field costs memory beside its bytes.
	// maxLongHeads bounds the connections with a request that has a long head, and maxLongLines the lines of such a head.
	maxHeadLines = 256
	maxLongHeads = 8
	maxLongLines = 8_192
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

// scan adds bytes that have arrived and reports whether the head is within the limits of its size.
func (h *headScanner) scan(p []byte, maxBytes int) bool {
	for _, b := range p {
		if h.ended {
			break
		}
		h.add(b)
	}
	return h.lines <= maxLongLines && (maxBytes <= 0 || h.bytes <= maxBytes+headSlack)
}

// isLong reports whether the head so far has so many lines that few requests may have one at a time.
func (h *headScanner) isLong() bool { return h.lines > maxHeadLines }

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

// admitLongHead reports whether a connection may go on with a long head, and counts it.
func (c *Closer) admitLongHead(of *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.open[of]
	switch {
	case s == nil:
		return false
	case s.longHead:
		return true
	case c.longHeads >= maxLongHeads:
		return false
	}
	s.longHead = true
	c.longHeads++
	return true
}

// endLongHead ends the count of a connection's long head, once the request with it has ended. The caller holds c.mu.
func (c *Closer) endLongHead(s *state) {
	if s != nil && s.longHead {
		s.longHead = false
		c.longHeads--
	}
}
