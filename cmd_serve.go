package main

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/config"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/transport/daemon"
	"github.com/dragonflyroute/dragonflyroute/transport/outlog"
	"github.com/dragonflyroute/dragonflyroute/transport/reload"
)

type serveArgs struct {
	Settings string `required:"" type:"existingfile" placeholder:"FILE" help:"Settings of this process."`
}

var serveCommand = command{name: "serve", help: "Runs an entry host until it is stopped by a signal.", args: &serveArgs{}, serves: true}

// Run serves until ctx ends on SIGTERM or SIGINT, then drains. After a signal on reloads it checks the settings file, which
// takes effect at the next start.
func (a *serveArgs) Run(ctx context.Context, reloads hangups) error {
	data, err := os.ReadFile(a.Settings)
	if err != nil {
		return fault.Wrap(kind.BadRequest, err, "read settings file")
	}
	settings, err := parseSettings(data)
	if err != nil {
		return err
	}
	out := outlog.New(os.Stderr)
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "dragonflyroute",
		Level:      hclog.LevelFromString(settings.LogLevel),
		JSONFormat: true,
		Output:     out,
	})
	redirectStandardLog(log)
	d := &daemon.Daemon{Settings: settings, Log: log}
	reloader := &reload.Reloader{Path: a.Settings, Data: data, Signals: reloads, Log: log, Apply: func(data []byte) error {
		_, err := parseSettings(data)
		if err == nil {
			log.Info("settings are valid; they take effect at the next start")
		}
		return err
	}}
	var g errgroup.Group
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	g.Go(func() error { return out.Run(taskCtx) })
	g.Go(func() error { return reloader.Run(taskCtx) })
	g.Go(func() error {
		defer stop()
		return d.Run(ctx)
	})
	return g.Wait()
}

// parseSettings parses the settings of a process. A BadRequest error names the first invalid field.
func parseSettings(data []byte) (*config.Settings, error) {
	settings, faults := config.Parse(data)
	if len(faults) > 0 {
		return nil, faults[0]
	}
	return settings, nil
}
