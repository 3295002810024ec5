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

// output holds the flags that every measurement shares.
type output struct {
	Seed uint64 `default:"1" help:"Seed."`
	JSON bool   `name:"json" help:"Print only the JSON line."`
}

// print writes a readable table, unless only JSON is wanted, and the figures as one JSON object on the last line.
func (o *output) print(figures any) error {
	data, err := json.Marshal(figures)
	if err != nil {
		return fault.Wrap(kind.Internal, err, "figures")
	}
	if !o.JSON {
		var tree map[string]any
		if err := json.Unmarshal(data, &tree); err != nil {
			return fault.Wrap(kind.Internal, err, "figures")
		}
		fmt.Printf("seed %d\n", o.Seed)
		printTree("", tree)
	}
	_, err = fmt.Fprintf(os.Stdout, "%s\n", data)
	return fault.Wrap(kind.Internal, err, "output")
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

// percentile returns the value below which the given part of the sorted values lies.
func percentile[T any](sorted []T, part float64) T {
	var zero T
	if len(sorted) == 0 {
		return zero
	}
	return sorted[min(len(sorted)-1, int(part*float64(len(sorted))))]
}

// millis returns durations in milliseconds.
func millis(times []time.Duration) []float64 {
	out := make([]float64, len(times))
	for i, t := range times {
		out[i] = float64(t.Microseconds()) / 1000
	}
	return out
}
