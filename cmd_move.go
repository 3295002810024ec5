package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
)

type moveArgs struct {
	Start    moveStart    `cmd:"" help:"Starts moving an entry's traffic to a version."`
	Show     moveShow     `cmd:"" help:"Prints an entry's latest move."`
	Withdraw moveWithdraw `cmd:"" help:"Rolls an entry's traffic back to the old version."`
}

var moveCommand = command{name: "move", help: "Moves traffic between back-end versions.", args: &moveArgs{}}

type moveStart struct {
	operatorFlags
	Entry    string   `arg:"" help:"Catalogue entry."`
	Version  string   `arg:"" help:"New version."`
	FinishBy finishBy `required:"" placeholder:"TIME" help:"Time by which the move must be completed or rolled back: RFC 3339, or a duration from now."`
	JSON     bool     `name:"json" help:"Print JSON."`
}

type moveShow struct {
	operatorFlags
	Entry string        `arg:"" help:"Catalogue entry."`
	Wait  bool          `help:"Wait until the move is completed (exit 0) or rolled back (exit 3)."`
	Poll  time.Duration `default:"250ms" help:"Polling interval while waiting."`
	JSON  bool          `name:"json" help:"Print JSON."`
}

type moveWithdraw struct {
	operatorFlags
	Entry string `arg:"" help:"Catalogue entry."`
	JSON  bool   `name:"json" help:"Print JSON."`
}

// finishBy is a point in time, given as an RFC 3339 time or as a duration from now.
type finishBy time.Time

// UnmarshalText parses an RFC 3339 time or a duration from now.
func (f *finishBy) UnmarshalText(text []byte) error {
	if d, err := time.ParseDuration(string(text)); err == nil {
		*f = finishBy(time.Now().Add(d))
		return nil
	}
	t, err := time.Parse(time.RFC3339, string(text))
	if err != nil {
		return fault.New(kind.BadRequest, "finish-by", "%q is neither an RFC 3339 time nor a duration", text)
	}
	*f = finishBy(t)
	return nil
}

// rolledBackError reports a move that was rolled back.
type rolledBackError struct{ move move.Move }

// Error returns the move and the reason of its rollback.
func (e rolledBackError) Error() string {
	return fmt.Sprintf("move of %s to %s was rolled back: %s", e.move.Entry, e.move.To, e.move.Reason)
}

// printMove prints a move, on one line unless asJSON is set.
func printMove(m *move.Move, asJSON bool) error {
	if asJSON {
		return printJSON(m)
	}
	fmt.Printf("%s: %s -> %s, %s at %.1f %%, finish by %s", m.Entry, m.From, m.To, m.State, m.Share*100, m.FinishBy.Format(time.RFC3339))
	if m.Reason != "" {
		fmt.Printf(" (%s)", m.Reason)
	}
	fmt.Println()
	return nil
}

// Run starts a move.
func (a *moveStart) Run(ctx context.Context) error {
	request := map[string]any{"entry": a.Entry, "version": a.Version, "finish-by": time.Time(a.FinishBy)}
	m := &move.Move{}
	if err := a.call(ctx, http.MethodPost, "/operator/moves", request, m); err != nil {
		return err
	}
	return printMove(m, a.JSON)
}

// Run prints an entry's latest move; with --wait it polls until the move has ended. It fails for a move that was rolled
// back.
func (a *moveShow) Run(ctx context.Context) error {
	for {
		m := &move.Move{}
		if err := a.call(ctx, http.MethodGet, "/operator/moves/"+a.Entry, nil, m); err != nil {
			return err
		}
		if a.Wait && !m.Ended() {
			if err := pause(ctx, a.Poll); err != nil {
				return err
			}
			continue
		}
		if err := printMove(m, a.JSON); err != nil {
			return err
		}
		if m.State == move.RolledBack {
			return rolledBackError{*m}
		}
		return nil
	}
}

// pause waits for d; it fails when ctx ends first.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return fault.Wrap(kind.Unavailable, ctx.Err(), "interrupted")
	}
}

// Run withdraws an entry's latest move, which rolls its traffic back.
func (a *moveWithdraw) Run(ctx context.Context) error {
	m := &move.Move{}
	if err := a.call(ctx, http.MethodDelete, "/operator/moves/"+a.Entry, nil, m); err != nil {
		return err
	}
	return printMove(m, a.JSON)
}
