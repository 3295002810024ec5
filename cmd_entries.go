package main

import (
	"context"
	"fmt"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
)

type entriesArgs struct {
	callerFlags
	JSON bool `name:"json" help:"Print JSON."`
}

var entriesCommand = command{name: "entries", help: "Prints the addresses of the entry hosts that serve an account.", args: &entriesArgs{}}

// Run prints the addresses that the account's callers use.
func (a *entriesArgs) Run(ctx context.Context) error {
	addresses, err := a.caller().Addresses(ctx)
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(map[string]any{"account": acct.ID(a.Account), "addresses": addresses})
	}
	for _, address := range addresses {
		fmt.Println(address)
	}
	return nil
}
