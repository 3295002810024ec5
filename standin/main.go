// Command standin simulates the systems around dragonflyroute (platform, model engines and application services),
// with faults that tests inject over HTTP.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

func main() {
	var cli struct {
		Platform platformCmd `cmd:"" help:"Simulates the platform: table, host list and cloud."`
		Engine   engineCmd   `cmd:"" help:"Simulates one model engine."`
		App      appCmd      `cmd:"" help:"Simulates one application service."`
		Site     siteCmd     `cmd:"" help:"Simulates the users' platform: store, platform calls and endpoints."`
	}
	k := kong.Parse(&cli, kong.Name("standin"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}
