// Command bench measures dragonflyroute: its decisions on a virtual clock, and its processes on loopback.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

func main() {
	var cli struct {
		Cost    costCmd    `cmd:"" help:"Cost at the latency limit for both users."`
		Decide  decideCmd  `cmd:"" help:"One routing decision at several fleet sizes."`
		Config  configCmd  `cmd:"" help:"Spread of catalogue changes at several fleet sizes."`
		Once    onceCmd    `cmd:"" help:"Non-idempotent calls over failing histories."`
		Lease   leaseCmd   `cmd:"" help:"Leases over pauses and lost answers."`
		Moves   movesCmd   `cmd:"" help:"Version moves of every kind."`
		Roles   rolesCmd   `cmd:"" help:"One step of mover and buyer at several sizes."`
		Hosts   hostsCmd   `cmd:"" help:"Buying hosts over reclaim waves and refused starts."`
		Homes   homesCmd   `cmd:"" help:"Load of entry hosts under address answers."`
		Hop     hopCmd     `cmd:"" help:"What an entry host adds to a request (test/hop.sh starts what it needs)."`
		Control controlCmd `cmd:"" help:"Control cost of running entry hosts (test/control.sh starts them)."`
		Load    loadCmd    `cmd:"" help:"Sends requests to running entry hosts."`
	}
	k := kong.Parse(&cli, kong.Name("bench"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}
