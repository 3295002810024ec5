package main

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/protocol/config"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/transport/daemon"
)

type serveArgs struct {
	Settings string `required:"" type:"existingfile" placeholder:"FILE" help:"Settings of this process."`
}

var serveCommand = command{name: "serve", help: "Runs an entry host until it is stopped by a signal.", args: &serveArgs{}}

// Run serves until ctx ends on SIGTERM or SIGINT, then drains.
func (a *serveArgs) Run(ctx context.Context) error {
	data, err := os.ReadFile(a.Settings)
	if err != nil {
		return fault.Wrap(kind.BadRequest, err, "read settings file")
	}
	settings, faults := config.Parse(data)
	if len(faults) > 0 {
		return faults[0]
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "dragonflyroute",
		Level:      hclog.LevelFromString(settings.LogLevel),
		JSONFormat: true,
		Output:     os.Stderr,
	})
	d := &daemon.Daemon{Settings: settings, Log: log}
	return d.Run(ctx)
}
