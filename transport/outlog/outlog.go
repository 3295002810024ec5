// Package outlog writes log lines without ever keeping their writers waiting.
package outlog

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// queueLines bounds the lines that wait to be written.
const queueLines = 4096

// Out takes lines and writes them from one place; lines that find the queue full are dropped and counted.
//
// Write may be called concurrently.
type Out struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New returns an Out that writes to w while Run runs.
func New(w io.Writer) *Out { return &Out{to: w, lines: make(chan []byte, queueLines)} }

// Write queues one line.
func (o *Out) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (o *Out) Dropped() int64 { return o.dropped.Load() }

// Run writes lines until ctx ends, and then what is queued.
func (o *Out) Run(ctx context.Context) error {
	w := bufio.NewWriter(o.to)
	reported := int64(0)
	for {
		select {
		case line := <-o.lines:
			_, _ = w.Write(line)
			o.drain(w)
			reported = o.reportDropped(w, reported)
			_ = w.Flush()
		case <-ctx.Done():
			o.drain(w)
			return w.Flush()
		}
	}
}

// drain writes the lines that are queued now.
func (o *Out) drain(w *bufio.Writer) {
	for range len(o.lines) {
		_, _ = w.Write(<-o.lines)
	}
}

// reportDropped writes a line when lines were dropped since the last one.
func (o *Out) reportDropped(w *bufio.Writer, reported int64) int64 {
	n := o.Dropped()
	if n > reported {
		_, _ = fmt.Fprintf(w, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"dropped\":%d}\n", n-reported)
	}
	return n
}
