package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/beat"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
)

type statusArgs struct {
	operatorFlags
	Watch  bool          `help:"Print repeatedly until interrupted."`
	Period time.Duration `default:"1s" help:"Interval of --watch."`
	JSON   bool          `name:"json" help:"Print JSON."`
}

var statusCommand = command{name: "status", help: "Prints one entry host's view of the system.", args: &statusArgs{}}

// statusReport is an entry host's response to a status request.
type statusReport struct {
	Self           beat.Heartbeat   `json:"self"`
	Peers          []beat.Heartbeat `json:"peers"`
	CatalogueAge   string           `json:"catalogue-age"`
	MayServe       bool             `json:"may-serve"`
	Moves          []move.Move      `json:"moves"`
	PendingRecords int              `json:"pending-records"`
	Endpoints      []struct {
		ID       string `json:"id"`
		Backend  string `json:"backend"`
		Version  string `json:"version"`
		Leaving  bool   `json:"leaving"`
		InFlight int    `json:"in-flight"`
	} `json:"endpoints"`
}

// Run prints the status once, or with --watch until interrupted.
func (a *statusArgs) Run(ctx context.Context) error {
	for {
		report := &statusReport{}
		if err := a.call(ctx, http.MethodGet, "/operator/status", nil, report); err != nil {
			return err
		}
		if err := a.print(report); err != nil || !a.Watch {
			return err
		}
		if pause(ctx, a.Period) != nil {
			return nil
		}
	}
}

// print prints the report as JSON, or as one line for the catalogue and each entry host, endpoint and move.
func (a *statusArgs) print(r *statusReport) error {
	if a.JSON {
		return printJSON(r)
	}
	fmt.Printf("catalogue revision %d, confirmed %s ago, may serve: %t, pending records: %d\n", r.Self.Revision, r.CatalogueAge, r.MayServe, r.PendingRecords)
	for _, p := range append([]beat.Heartbeat{r.Self}, r.Peers...) {
		fmt.Printf("entry host %-14s %-12s %-9s revision %d, %d running, %s\n", p.Host, p.DataCentre, p.State, p.Revision, p.Running, p.CallerAddress)
	}
	for _, e := range r.Endpoints {
		state := "live"
		if e.Leaving {
			state = "leaving"
		}
		fmt.Printf("endpoint   %-14s %-12s %-9s version %s, %d in flight\n", e.ID, e.Backend, state, e.Version, e.InFlight)
	}
	for i := range r.Moves {
		if err := printMove(&r.Moves[i], false); err != nil {
			return err
		}
	}
	return nil
}
