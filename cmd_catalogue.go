package main

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"github.com/dragonflyroute/dragonflyroute/protocol/catlog"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

type catalogueArgs struct {
	Get     catalogueGet     `cmd:"" help:"Prints the newest revision, or an older one."`
	Put     cataloguePut     `cmd:"" help:"Submits a draft that is based on a given revision."`
	Diff    catalogueDiff    `cmd:"" help:"Prints what a draft would change."`
	History catalogueHistory `cmd:"" help:"Lists the latest revisions."`
}

var catalogueCommand = command{name: "catalogue", help: "Reads and edits the catalogue.", args: &catalogueArgs{}}

type catalogueGet struct {
	operatorFlags
	Revision int64 `help:"Revision; the newest one by default."`
}

type cataloguePut struct {
	operatorFlags
	File string `arg:"" type:"existingfile" help:"Draft."`
	Base int64  `default:"-1" help:"Revision that the draft was made from; by default the draft's own revision field."`
	JSON bool   `name:"json" help:"Print JSON."`
}

type catalogueDiff struct {
	operatorFlags
	File string `arg:"" type:"existingfile" help:"Draft."`
	JSON bool   `name:"json" help:"Print JSON."`
}

type catalogueHistory struct {
	operatorFlags
	Last int64 `default:"10" help:"Number of revisions to list."`
	JSON bool  `name:"json" help:"Print JSON."`
}

// fetch returns a revision of the catalogue from an entry host, the newest one for 0.
func (o *operatorFlags) fetch(ctx context.Context, revision int64) (*catlog.Catalogue, error) {
	path := "/operator/catalogue"
	if revision > 0 {
		path = fmt.Sprintf("/operator/catalogue/%d", revision)
	}
	c := &catlog.Catalogue{}
	return c, o.call(ctx, http.MethodGet, path, nil, c)
}

// Run prints one revision of the catalogue.
func (a *catalogueGet) Run(ctx context.Context) error {
	c, err := a.fetch(ctx, a.Revision)
	if err != nil {
		return err
	}
	return printJSON(c)
}

// readDraft reads and checks a draft; every fault is printed to standard error.
func readDraft(name string) ([]byte, *catlog.Catalogue, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, fault.Wrap(kind.BadRequest, err, "read catalogue file")
	}
	draft, faults := catlog.Parse(data)
	for _, f := range faults {
		fmt.Fprintf(os.Stderr, "%s: %s\n", name, f)
	}
	if len(faults) > 0 {
		return nil, nil, fault.New(kind.BadRequest, "", "the catalogue has %d faults", len(faults))
	}
	return data, draft, nil
}

// Run submits a draft and prints the accepted revision.
func (a *cataloguePut) Run(ctx context.Context) error {
	data, draft, err := readDraft(a.File)
	if err != nil {
		return err
	}
	base := a.Base
	if base < 0 {
		base = draft.Revision
	}
	var accepted struct {
		Revision int64 `json:"revision"`
		InForce  int   `json:"in-force"`
		Alive    int   `json:"alive"`
	}
	if err := a.call(ctx, http.MethodPut, fmt.Sprintf("/operator/catalogue?base=%d", base), data, &accepted); err != nil {
		return err
	}
	if a.JSON {
		return printJSON(accepted)
	}
	fmt.Printf("revision %d accepted, in force on %d of %d entry hosts\n", accepted.Revision, accepted.InForce, accepted.Alive)
	return nil
}

// Run prints what a draft would change.
func (a *catalogueDiff) Run(ctx context.Context) error {
	_, draft, err := readDraft(a.File)
	if err != nil {
		return err
	}
	head, err := a.fetch(ctx, 0)
	if err != nil {
		return err
	}
	draft.Moves = head.Moves
	lines := catlog.Diff(head, draft)
	if a.JSON {
		return printJSON(lines)
	}
	for _, line := range lines {
		fmt.Println(line)
	}
	return nil
}

// revisionLine is one revision in the output of history.
type revisionLine struct {
	Revision int64    `json:"revision"`
	Note     string   `json:"note"`
	Changes  []string `json:"changes"`
}

// Run lists the latest revisions with their changes.
func (a *catalogueHistory) Run(ctx context.Context) error {
	newer, err := a.fetch(ctx, 0)
	if err != nil {
		return err
	}
	var lines []revisionLine
	for n := int64(0); n < a.Last && newer.Revision > 0; n++ {
		older := &catlog.Catalogue{}
		if newer.Revision > 1 {
			if older, err = a.fetch(ctx, newer.Revision-1); err != nil {
				return err
			}
		}
		lines = append(lines, revisionLine{Revision: newer.Revision, Note: newer.Note, Changes: catlog.Diff(older, newer)})
		newer = older
	}
	if a.JSON {
		return printJSON(lines)
	}
	for _, l := range lines {
		fmt.Printf("%d  %s (%d changes)\n", l.Revision, l.Note, len(l.Changes))
	}
	return nil
}
