// Package outlog writes log lines asynchronously, so that logging never blocks.
package outlog

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"syscall"
)

// queueLines is the capacity of the queue of lines to be written.
const queueLines = 4096

// Writer queues lines, which one goroutine writes; lines that find the queue full are dropped and counted.
//
// Write may be called concurrently.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// New returns a Writer that writes to w while Run runs.
func New(w io.Writer) *Writer { return &Writer{to: w, lines: make(chan []byte, queueLines)} }

// Write queues one line or drops it if the queue is full; it never blocks and returns no error.
func (o *Writer) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (o *Writer) Dropped() int64 { return o.dropped.Load() }

// Run writes queued lines until ctx ends, and then those that are left in the queue. It is no error that nobody reads them.
func (o *Writer) Run(ctx context.Context) error {
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
			if err := w.Flush(); !errors.Is(err, syscall.EPIPE) {
				return err
			}
			return nil
		}
	}
}

// drain writes the lines that are queued now.
func (o *Writer) drain(w *bufio.Writer) {
	for range len(o.lines) {
		_, _ = w.Write(<-o.lines)
	}
}

// reportDropped writes a line with the number of lines dropped since the last report, if there are any, and returns the
// total.
func (o *Writer) reportDropped(w *bufio.Writer, reported int64) int64 {
	n := o.Dropped()
	if n > reported {
		_, _ = fmt.Fprintf(w, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"dropped\":%d}\n", n-reported)
	}
	return n
}
