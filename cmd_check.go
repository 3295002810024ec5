package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/config"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

type checkArgs struct {
	Files []string `arg:"" type:"existingfile" help:"Settings or catalogues."`
	JSON  bool     `name:"json" help:"Print problem documents."`
}

var checkCommand = command{name: "check", help: "Checks settings and catalogues and prints every fault.", args: &checkArgs{}}

// checkedFile is the result for one file in the output of check --json.
type checkedFile struct {
	File   string         `json:"file"`
	Faults []*fault.Error `json:"faults"`
}

// Run checks each file, prints the faults, and fails with kind BadRequest if there are any.
func (a *checkArgs) Run() error {
	var checked []checkedFile
	count := 0
	for _, name := range a.Files {
		faults, err := checkFile(name)
		if err != nil {
			return err
		}
		count += len(faults)
		checked = append(checked, checkedFile{File: name, Faults: faults})
	}
	if err := a.print(checked); err != nil {
		return err
	}
	if count > 0 {
		return fault.New(kind.BadRequest, "", "%d faults found", count)
	}
	return nil
}

func (a *checkArgs) print(checked []checkedFile) error {
	if a.JSON {
		return printJSON(checked)
	}
	for _, c := range checked {
		for _, f := range c.Faults {
			fmt.Printf("%s: %s\n", c.File, f)
		}
		if len(c.Faults) == 0 {
			fmt.Printf("%s: ok\n", c.File)
		}
	}
	return nil
}

// checkFile returns the faults of one file, which is a catalogue if the document has entries, and settings otherwise.
func checkFile(name string) ([]*fault.Error, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fault.Wrap(kind.BadRequest, err, "read file")
	}
	var probe map[string]json.RawMessage
	_ = json.Unmarshal(data, &probe)
	var faults []error
	if _, isCatalogue := probe["entries"]; isCatalogue {
		_, faults = catlog.Parse(data)
	} else {
		_, faults = config.Parse(data)
	}
	out := []*fault.Error{}
	for _, f := range faults {
		out = append(out, fault.From(f))
	}
	return out, nil
}
