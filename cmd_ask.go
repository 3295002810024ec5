package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/transport/caller"
	"github.com/dragonflyroute/dragonflyroute/transport/spans"
)

// callerFlags say who asks, and which entry hosts are asked first.
type callerFlags struct {
	Account string   `required:"" env:"DRAGONFLYROUTE_ACCOUNT" help:"Account of the caller."`
	At      []string `default:"127.0.0.1:8101" env:"DRAGONFLYROUTE_AT" placeholder:"ADDRESS" help:"Entry hosts to ask first."`
	Tries   int      `default:"20" help:"Bound on attempts."`
}

func (f *callerFlags) caller() *caller.Caller {
	return &caller.Caller{
		Account:     acct.ID(f.Account),
		Seeds:       f.At,
		Client:      &http.Client{},
		NewID:       rand.Text,
		MaxAttempts: f.Tries,
	}
}

type askArgs struct {
	callerFlags
	Entry     string `arg:"" help:"Catalogue entry."`
	Prompt    string `arg:"" optional:"" help:"Text to complete, for a model entry."`
	MaxTokens int    `default:"16" help:"Bound on the answer."`
	Call      string `placeholder:"METHOD:PATH" help:"Call of a service entry, such as POST:/instalments."`
	Body      string `help:"Body of the call."`
	Key       string `help:"Idempotency key of the call; a fresh one without it."`
	TraceFile string `help:"File that gets the caller's span."`
	JSON      bool   `name:"json" help:"Print JSON."`
}

var askCommand = command{name: "ask", help: "Sends one request as a well-behaved caller.", args: &askArgs{}}

type askReport struct {
	Tokens      int     `json:"tokens,omitempty"`
	Connections int     `json:"connections,omitempty"`
	FirstMillis float64 `json:"first-token-ms,omitempty"`
	TotalMillis float64 `json:"total-ms"`
	Text        string  `json:"text,omitempty"`
	Status      int     `json:"status,omitempty"`
	Key         string  `json:"idempotency-key,omitempty"`
	Answer      string  `json:"answer,omitempty"`
}

// Run asks a model or calls a service.
func (a *askArgs) Run(ctx context.Context) (err error) {
	t := &spans.Spans{Host: "caller", File: a.TraceFile, Sample: 1}
	if err := t.Open(ctx); err != nil {
		return err
	}
	defer func() { _ = t.Close(context.WithoutCancel(ctx)) }()
	ctx, end := spans.Start(ctx, "ask")
	defer func() { end(err) }()
	if a.Call != "" {
		return a.call(ctx)
	}
	if a.Prompt == "" {
		return fault.New(kind.BadRequest, "prompt", "a model entry needs a prompt, a service entry --call")
	}
	return a.stream(ctx)
}

func (a *askArgs) stream(ctx context.Context) error {
	started := time.Now()
	report := askReport{}
	text := strings.Builder{}
	connections, err := a.caller().Stream(ctx, label.Name(a.Entry), a.Prompt, a.MaxTokens, func(token string) {
		if report.Tokens == 0 {
			report.FirstMillis = millis(time.Since(started))
		}
		report.Tokens++
		text.WriteString(token)
		if !a.JSON {
			fmt.Print(token)
		}
	})
	if err != nil {
		return err
	}
	if !a.JSON {
		fmt.Println()
		return nil
	}
	report.Connections = connections
	report.TotalMillis = millis(time.Since(started))
	report.Text = text.String()
	return printJSON(report)
}

func (a *askArgs) call(ctx context.Context) error {
	method, path, ok := strings.Cut(a.Call, ":")
	if !ok {
		return fault.New(kind.BadRequest, "call", "%q is not METHOD:PATH", a.Call)
	}
	key := a.Key
	if key == "" {
		key = rand.Text()
	}
	started := time.Now()
	status, answer, err := a.caller().Call(ctx, label.Name(a.Entry), method, path, key, []byte(a.Body))
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(askReport{Status: status, Key: key, Answer: string(answer), TotalMillis: millis(time.Since(started))})
	}
	_, err = os.Stdout.Write(answer)
	return fault.Wrap(kind.Internal, err, "output")
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
