// Package reload applies changes of a settings file to a running process, on SIGHUP or when the file has changed.
package reload

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// checkInterval is the time between checks of whether the file has changed without a signal.
const checkInterval = 2 * time.Second

// Reloader watches one settings file. Set the fields before Run.
type Reloader struct {
	// Path is the path of the settings file.
	Path string
	// Data is the content that the process started with.
	Data []byte
	// Signals receives the signals that announce a change of the file.
	Signals <-chan os.Signal
	// Apply applies new settings. An error leaves the previous ones in force.
	Apply func(data []byte) error
	// Log receives a line for each signal, and for each content that was applied or rejected.
	Log hclog.Logger

	// checked describes the file at the last check for a change without a signal, nil before the first: the file may have
	// changed since Data was read.
	checked os.FileInfo
}

// Run applies changes until ctx ends. It never fails: the process keeps serving with its previous settings.
func (r *Reloader) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-r.Signals:
			r.Log.Info("signal received; reading the settings file again", "signal", s.String())
			r.reload()
		case <-ticker.C:
			if r.fileChanged() {
				r.reload()
			}
		}
	}
}

// fileChanged reports whether the file is another one, or was written, since the last call.
func (r *Reloader) fileChanged() bool {
	before, now := r.checked, r.stat()
	if now == nil {
		return false
	}
	r.checked = now
	return before == nil || !os.SameFile(before, now) || !before.ModTime().Equal(now.ModTime()) || before.Size() != now.Size()
}

// stat describes the file; nil if there is none at present, as it may be being replaced.
func (r *Reloader) stat() os.FileInfo {
	info, err := os.Stat(r.Path)
	if err != nil {
		r.Log.Warn("settings file not found; keeping the previous settings", "path", r.Path, "error", err)
		return nil
	}
	return info
}

// reload reads the file and applies it if its content has changed.
func (r *Reloader) reload() {
	data, err := os.ReadFile(r.Path)
	if err != nil {
		r.Log.Error("settings file not readable; keeping the previous settings", "error", fault.Wrap(kind.BadRequest, err, "read settings file"))
		return
	}
	if bytes.Equal(data, r.Data) {
		r.Log.Info("settings unchanged")
		return
	}
	if err := r.Apply(data); err != nil {
		r.Log.Error("settings rejected; keeping the previous ones", "error", err)
		return
	}
	r.Data = data
}
