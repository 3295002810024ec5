package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// output holds the flags shared by the measurements.
type output struct {
	Seed uint64 `default:"1" help:"Seed."`
	JSON bool   `name:"json" help:"Print only the JSON line."`
}

// print writes the figures as a readable table, unless JSON is set, and as one JSON object on the last line.
func (o *output) print(figures any) error {
	data, err := json.Marshal(figures)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "encode figures")
	}
	if !o.JSON {
		var tree map[string]any
		if err := json.Unmarshal(data, &tree); err != nil {
			return fault.Wrap(kind.Internal, err, "decode figures")
		}
		fmt.Printf("seed %d\n", o.Seed)
		printTree("", tree)
	}
	_, err = fmt.Fprintf(os.Stdout, "%s\n", data)
	return fault.Wrap(kind.Internal, err, "write figures")
}

func printTree(indent string, tree map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(tree)) {
		if inner, ok := tree[name].(map[string]any); ok {
			fmt.Printf("%s%s\n", indent, name)
			printTree(indent+"  ", inner)
			continue
		}
		fmt.Printf("%s%-28s %v\n", indent, name, tree[name])
	}
}

// percentile returns the value below which the given fraction of the sorted values lies, or the zero value of an empty
// slice.
func percentile[T any](sorted []T, fraction float64) T {
	var zero T
	if len(sorted) == 0 {
		return zero
	}
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

// millis converts durations to milliseconds.
func millis(times []time.Duration) []float64 {
	out := make([]float64, len(times))
	for i, t := range times {
		out[i] = float64(t.Microseconds()) / 1000
	}
	return out
}
