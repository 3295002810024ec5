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
	Start    moveStart    `cmd:"" help:"Asks to move an entry's traffic to a version."`
	Show     moveShow     `cmd:"" help:"Prints an entry's latest move."`
	Withdraw moveWithdraw `cmd:"" help:"Takes an entry's traffic back to the old version."`
}

var moveCommand = command{name: "move", help: "Moves traffic between back-end versions.", args: &moveArgs{}}

type moveStart struct {
	operatorFlags
	Entry    string   `arg:"" help:"Catalogue entry."`
	Version  string   `arg:"" help:"New version."`
	FinishBy finishBy `required:"" placeholder:"TIME" help:"When the move must be done or taken back: RFC 3339, or a duration from now."`
	JSON     bool     `name:"json" help:"Print JSON."`
}

type moveShow struct {
	operatorFlags
	Entry string        `arg:"" help:"Catalogue entry."`
	Wait  bool          `help:"Wait until the move is done (exit 0) or taken back (exit 3)."`
	Poll  time.Duration `default:"250ms" help:"Time between looks while waiting."`
	JSON  bool          `name:"json" help:"Print JSON."`
}

type moveWithdraw struct {
	operatorFlags
	Entry string `arg:"" help:"Catalogue entry."`
	JSON  bool   `name:"json" help:"Print JSON."`
}

// finishBy is a point in time, given as such or as a duration from now.
type finishBy time.Time

// UnmarshalText reads RFC 3339 or a duration from now.
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

// takenBackError reports a move that was taken back.
type takenBackError struct{ move move.Move }

// Error returns the move's reason.
func (e takenBackError) Error() string {
	return fmt.Sprintf("move of %s to %s was taken back: %s", e.move.Entry, e.move.To, e.move.Reason)
}

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
	order := map[string]any{"entry": a.Entry, "version": a.Version, "finish-by": time.Time(a.FinishBy)}
	m := &move.Move{}
	if err := a.call(ctx, http.MethodPost, "/operator/moves", order, m); err != nil {
		return err
	}
	return printMove(m, a.JSON)
}

// Run prints a move, after its end if told to wait.
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
		if m.State == move.TakenBack {
			return takenBackError{*m}
		}
		return nil
	}
}

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

// Run takes a move back.
func (a *moveWithdraw) Run(ctx context.Context) error {
	m := &move.Move{}
	if err := a.call(ctx, http.MethodDelete, "/operator/moves/"+a.Entry, nil, m); err != nil {
		return err
	}
	return printMove(m, a.JSON)
}
