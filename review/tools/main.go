// Command reviewcase runs the scripted cases of the review: reviewcase NUMBER FOLDER.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// limit bounds the time of a case.
const limit = 110 * time.Second

var cases = map[string]func(s *system, trouble bool) (int, error){
	"silent-store":    silentStore,
	"rollout":         rollout,
	"partial-entry":   partialEntry,
	"stalled-streams": stalledStreams,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcase NAME FOLDER")
		return cannot
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	root := filepath.Dir(filepath.Dir(folder))
	// A reader of the output that ends early must not end this process before it has ended the daemons.
	signal.Ignore(syscall.SIGPIPE)
	s, err := newSystem(rec, root)
	if err != nil {
		rec.say("cannot run: %v", err)
		return cannot
	}
	defer s.close()
	type outcome struct {
		code int
		err  error
	}
	done := make(chan outcome, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("trouble: %v", trouble)
	go func() {
		code, err := cases[os.Args[1]](s, trouble)
		done <- outcome{code, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case o := <-done:
		if o.err != nil {
			rec.say("cannot run: %v", o.err)
			return cannot
		}
		rec.say("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken"}[o.code])
		return o.code
	case <-time.After(limit):
		rec.say("cannot run: time is up")
	case <-stop:
		rec.say("cannot run: stopped by a signal")
	}
	return cannot
}
