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

// callerFlags are the flags of commands that act as a caller: its account and the entry hosts to contact first.
type callerFlags struct {
	Account string   `required:"" env:"DRAGONFLYROUTE_ACCOUNT" help:"Account of the caller."`
	At      []string `default:"127.0.0.1:8101" env:"DRAGONFLYROUTE_AT" placeholder:"ADDRESS" help:"Entry hosts to contact first."`
	Tries   int      `default:"20" help:"Maximum number of attempts."`
}

// caller returns a client with the flags' settings.
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
	MaxTokens int    `default:"16" help:"Maximum length of the answer in tokens."`
	Call      string `placeholder:"METHOD:PATH" help:"Call of a service entry, such as POST:/instalments."`
	Body      string `help:"Body of the call."`
	Key       string `help:"Idempotency key of the call; a random one by default."`
	TraceFile string `help:"File to which the caller's spans are written."`
	JSON      bool   `name:"json" help:"Print JSON."`
}

var askCommand = command{name: "ask", help: "Sends one request to a model or service entry, with retries and reconnects.", args: &askArgs{}}

// askReport is the output of ask --json.
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

// Run sends a prompt to a model entry or calls a service entry.
func (a *askArgs) Run(ctx context.Context) (err error) {
	t := &spans.Exporter{Host: "caller", File: a.TraceFile, SampleRate: 1}
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
		return fault.New(kind.BadRequest, "prompt", "no request given: a model entry needs a prompt, a service entry needs --call")
	}
	return a.stream(ctx)
}

// stream sends the prompt to a model entry and prints the tokens as they arrive, or a report at the end.
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

// call sends a call to a service entry and prints the response.
func (a *askArgs) call(ctx context.Context) error {
	method, path, ok := strings.Cut(a.Call, ":")
	if !ok {
		return fault.New(kind.BadRequest, "call", "%q does not have the form METHOD:PATH", a.Call)
	}
	key := a.Key
	if key == "" {
		key = rand.Text()
	}
	started := time.Now()
	status, body, err := a.caller().Call(ctx, label.Name(a.Entry), method, path, key, []byte(a.Body))
	if err != nil {
		return err
	}
	if a.JSON {
		return printJSON(askReport{Status: status, Key: key, Answer: string(body), TotalMillis: millis(time.Since(started))})
	}
	_, err = os.Stdout.Write(body)
	return fault.Wrap(kind.Internal, err, "write output")
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
