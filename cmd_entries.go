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

var entriesCommand = command{name: "entries", help: "Prints the entry hosts that an account's callers shall use.", args: &entriesArgs{}}

// Run prints the address answer.
func (a *entriesArgs) Run(ctx context.Context) error {
	got, err := a.caller().Addresses(ctx)
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(map[string]any{"account": acct.ID(a.Account), "addresses": got})
	}
	for _, address := range got {
		fmt.Println(address)
	}
	return nil
}
