package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/transport/stdlog"
)

// The exit codes of every command.
const (
	exitOK         = 0
	exitFailed     = 1
	exitBadInput   = 2
	exitRolledBack = 3
)

// command is one subcommand: its name, its help text and its arguments, whose Run method executes it.
type command struct {
	name string
	help string
	args any
	// serves is set for commands that serve callers until they are told to stop.
	serves bool
}

// hangups receives the SIGHUPs of a command that serves callers; they announce that its settings file has changed.
type hangups chan os.Signal

var commands = []command{
	serveCommand,
	hostCommand,
	checkCommand,
	catalogueCommand,
	moveCommand,
	statusCommand,
	entriesCommand,
	explainCommand,
	askCommand,
	versionCommand,
}

// run parses the arguments, runs the selected command until it ends or a signal arrives, and returns the exit code.
func run(args []string) int {
	// SIGHUP ends the process by default, and so does SIGPIPE when nobody reads its output any more. Both may come as soon
	// as it runs.
	reloads := make(hangups, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	options := []kong.Option{
		kong.Name("dragonflyroute"),
		kong.Description("Serves model answers and application calls on reclaimable hosts."),
		kong.UsageOnError(),
	}
	for _, c := range commands {
		options = append(options, kong.DynamicCommand(c.name, c.help, "", c.args))
	}
	parser, err := kong.New(&struct{}{}, options...)
	if err != nil {
		return report(err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "dragonflyroute: %s\n", err)
		return exitBadInput
	}
	if !serves(parsed.Command()) {
		signal.Reset(syscall.SIGHUP, syscall.SIGPIPE)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	return report(parsed.Run(reloads))
}

// redirectStandardLog has the process's log take what libraries write to the standard logger.
func redirectStandardLog(to hclog.Logger) {
	log.SetFlags(0)
	log.SetOutput(&stdlog.Writer{Log: to, Now: time.Now})
}

// serves reports whether a command serves callers until it is told to stop.
func serves(name string) bool {
	return slices.ContainsFunc(commands, func(c command) bool { return c.name == name && c.serves })
}

// report prints an error, if any, to standard error and returns the exit code.
func report(err error) int {
	if err == nil {
		return exitOK
	}
	var rolledBack rolledBackError
	if errors.As(err, &rolledBack) {
		fmt.Fprintf(os.Stderr, "dragonflyroute: %s\n", rolledBack)
		return exitRolledBack
	}
	fmt.Fprintf(os.Stderr, "dragonflyroute: %s\n", err)
	switch fault.KindOf(err) {
	case kind.BadRequest, kind.NotFound, kind.Unauthorized, kind.TooLarge:
		return exitBadInput
	default:
		return exitFailed
	}
}

// printJSON prints v as indented JSON to standard output.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return fault.Wrap(kind.Internal, e.Encode(v), "write output")
}
