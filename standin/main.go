// Command standin plays the systems that dragonflyroute serves and uses, small and with faults on demand.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

func main() {
	var cli struct {
		Platform platformCmd `cmd:"" help:"Plays the platform: table, host list and cloud."`
		Engine   engineCmd   `cmd:"" help:"Plays one model engine."`
		App      appCmd      `cmd:"" help:"Plays one application service."`
		Site     siteCmd     `cmd:"" help:"Plays the users' platform: store, duty calls and endpoints."`
	}
	k := kong.Parse(&cli, kong.Name("standin"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}
