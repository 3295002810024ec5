// Command bench measures dragonflyroute: its decisions in simulations on a virtual clock, and its processes on loopback.
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
		Config  configCmd  `cmd:"" help:"Propagation of catalogue changes at several fleet sizes."`
		Once    onceCmd    `cmd:"" help:"Non-idempotent calls over histories with faults."`
		Lease   leaseCmd   `cmd:"" help:"Leases over histories with pauses and lost responses."`
		Moves   movesCmd   `cmd:"" help:"Version moves of every kind."`
		Proof   proofCmd   `cmd:"" help:"Verdicts on versions whose evidence depends on callers, too."`
		Roles   rolesCmd   `cmd:"" help:"One step of the mover, the provisioner and the engine orders at several sizes."`
		Hosts   hostsCmd   `cmd:"" help:"Host provisioning under reclaim waves and refused starts."`
		Homes   homesCmd   `cmd:"" help:"Distribution of load over entry hosts by address lookups."`
		Hop     hopCmd     `cmd:"" help:"Latency, CPU time and memory of an entry host (test/hop.sh starts the processes)."`
		Control controlCmd `cmd:"" help:"Control-plane cost of running entry hosts (test/control.sh starts them)."`
		Load    loadCmd    `cmd:"" help:"Sends requests to running entry hosts."`
	}
	k := kong.Parse(&cli, kong.Name("bench"))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}
