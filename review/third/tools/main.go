// The program trial plays one case of the review: it starts the entry hosts, plays the platform, the servers and the clients, and
// checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken is the end of a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// wholeTime bounds a case.
const wholeTime = 115 * time.Second

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: trial CASE ROOT RECORD")
		os.Exit(2)
	}
	cases := map[string]func(context.Context, *scene) error{
		"late": turnsBad, "misdirected": misdirected,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(exitCode(runCase(play, os.Args[2], os.Args[3])))
}

func exitCode(err error) int {
	switch {
	case err == nil:
		fmt.Println("the rule held")
		return 0
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return 1
	default:
		fmt.Println("the case could not run:", err)
		return 2
	}
}

func runCase(play func(context.Context, *scene) error, root, path string) error {
	// A reader of standard output that leaves must not end this program before the processes that it started.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, wholeTime)
	defer cancel()
	rec, err := newRecord(path)
	if err != nil {
		return err
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "trial")
	if err != nil {
		return err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	s, err := newScene(root, dir, rec)
	if err != nil {
		return err
	}
	defer s.end()
	err = play(ctx, s)
	rec.line("result: %v", err)
	return err
}

// serveOn serves a handler on a free port until the process ends.
func serveOn(h http.Handler) (address string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// wait pauses for a time; it reports false if ctx ended before.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
