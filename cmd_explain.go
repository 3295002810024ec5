package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/dragonflyroute/dragonflyroute/protocol/avail"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/method"
	"github.com/dragonflyroute/dragonflyroute/protocol/option"
	"github.com/dragonflyroute/dragonflyroute/protocol/period"
)

type explainArgs struct {
	At      string `required:"" placeholder:"ADDRESS" help:"IP address and port of an entry host's metrics."`
	Route   string `required:"" help:"Route of the request."`
	Account string `help:"Account of the request."`
	Tokens  int64  `help:"Length of the prompt in tokens; 0 for a request without one, or for the sum of its parts."`
	Out     int64  `help:"Maximum length of the answer in tokens."`
	Parts   string `placeholder:"HEX:TOKENS,..." help:"Parts of the prompt in order: their hashes, as logged, and lengths."`
	JSON    bool   `name:"json" help:"Print JSON."`
}

var explainCommand = command{name: "explain", help: "Prints where a request would go at present, and why, without sending it.", args: &explainArgs{}}

// Run asks the entry host and prints its answer.
func (a *explainArgs) Run(ctx context.Context) error {
	host := operatorFlags{At: a.At}
	var results []dryrun.Result
	if err := host.call(ctx, http.MethodGet, "/explain?"+a.query().Encode(), nil, &results); err != nil {
		return err
	}
	if a.JSON {
		return printJSON(results)
	}
	for i := range results {
		if err := printResult(&results[i]); err != nil {
			return err
		}
	}
	return nil
}

func (a *explainArgs) query() url.Values {
	return url.Values{
		"route":   {a.Route},
		"account": {a.Account},
		"tokens":  {strconv.FormatInt(a.Tokens, 10)},
		"out":     {strconv.FormatInt(a.Out, 10)},
		"parts":   {a.Parts},
	}
}

// printResult prints the result for one back end: two lines and a table of its endpoints.
func printResult(r *dryrun.Result) error {
	fmt.Printf("back end %s, %.4g %% of the route's requests, priority %d: %s\n", r.Backend, 100*r.Fraction, r.Priority, chooser(r))
	if r.Status != 0 {
		fmt.Printf("refused with status %d, retry after %s: %s\n", r.Status, r.RetryAfter.Duration(), r.Reason)
	} else {
		fmt.Printf("goes to %s, %s ms to the first part of the answer: %s\n", r.Endpoint, inMillis(r.TimeToFirst), r.Reason)
	}
	if r.Spills {
		fmt.Println("as that is long, the keeper of another shard is asked as well, and its endpoint is taken if it is a good deal faster")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if r.Method == method.Random {
		printChances(w, r)
	} else {
		printCosts(w, r)
	}
	return fault.Wrap(kind.Internal, w.Flush(), "write output")
}

// chooser returns who chooses the endpoint, and among which.
func chooser(r *dryrun.Result) string {
	switch {
	case len(r.Options) == 0:
		return fmt.Sprintf("host %s compares no endpoints", r.Host)
	case r.Method == method.Keeper:
		return fmt.Sprintf("host %s keeps shard %d of %d, and compares its endpoints", r.Host, r.Shard, r.Shards)
	case r.Method == method.Sample:
		return fmt.Sprintf("host %s compares some endpoints by its own counts", r.Host)
	default:
		return fmt.Sprintf("host %s draws an endpoint at random", r.Host)
	}
}

func printChances(w *tabwriter.Writer, r *dryrun.Result) {
	_, _ = fmt.Fprintln(w, "ENDPOINT\tDATA-CENTRE\tSTATE\tCHANCE\tRUNNING\tSLOTS")
	for i := range r.Options {
		o := &r.Options[i]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%d\t%d\n", o.Endpoint, o.DataCentre, stateText(o), o.Chance, o.Running, o.Slots)
	}
}

// costColumns are the columns of the table of printCosts. The first of the times is the sum of the others.
const costColumns = "ENDPOINT\tDATA-CENTRE\tSTATE" +
	"\tCOST-MS\tAHEAD-MS\tPREFILL-MS\tQUEUE-MS\tRUNNING-MS\tCENTRE-MS\tREPEAT-MS" +
	"\tAHEAD-TOKENS\tPREFILL-TOKENS\tCACHED-TOKENS\tFETCHED-TOKENS\tDONOR\tRUNNING\tSLOTS\tSLOWDOWN"

func printCosts(w *tabwriter.Writer, r *dryrun.Result) {
	_, _ = fmt.Fprintln(w, costColumns)
	for i := range r.Options {
		o := &r.Options[i]
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t", o.Endpoint, o.DataCentre, stateText(o))
		for _, part := range []period.Period{o.Cost, o.AheadCost, o.PrefillCost, o.QueueCost, o.RunningCost, o.CentreCost, o.RepeatCost} {
			_, _ = fmt.Fprintf(w, "%s\t", inMillis(part))
		}
		_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%s\t", o.AheadTokens, o.PrefillTokens, o.CachedTokens, o.FetchedTokens, cmp.Or(o.Donor, "-"))
		_, _ = fmt.Fprintf(w, "%d\t%d\t%.2f\n", o.Running, o.Slots, o.Slowdown)
	}
}

// stateText returns an endpoint's state, for how long it lasts and whether the endpoint was compared.
func stateText(o *option.Option) string {
	switch {
	case o.Until > 0:
		return fmt.Sprintf("%s for %s ms", o.State, inMillis(o.Until))
	case o.State == avail.Available && !o.Compared:
		return "not compared"
	default:
		return o.State.String()
	}
}

func inMillis(p period.Period) string { return strconv.FormatFloat(millis(p.Duration()), 'f', 1, 64) }
