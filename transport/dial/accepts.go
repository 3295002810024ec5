package dial

import (
	"context"
	"errors"
	"os"
	"time"
)

const (
	// acceptTimeout bounds the time to open a connection in Accepts, and holdTime is how long it must stay open: what
	// stands before a process may accept it on the process's behalf and close it when the process is gone.
	acceptTimeout = 300 * time.Millisecond
	holdTime      = 30 * time.Millisecond
)

// Accepts reports whether a process at an address accepts connections.
func Accepts(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	c, err := ResetOnClose(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	if err := c.SetReadDeadline(time.Now().Add(holdTime)); err != nil {
		return false
	}
	_, err = c.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
