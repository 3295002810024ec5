// Package catlog holds the catalogue: the operators' configuration of accounts and entries, with the moves of their
// traffic.
package catlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/move"
	"github.com/dragonflyroute/dragonflyroute/protocol/strict"
)

type account struct {
	// ID is the account's id.
	ID acct.ID `json:"id"`
	// Scale multiplies the limits of every entry for this account.
	Scale float64 `json:"scale"`
}

// Catalogue is one immutable revision of the operators' configuration and of the moves in progress.
type Catalogue struct {
	// Revision is the number of accepted changes; 0 is a draft that has not been accepted yet.
	Revision int64 `json:"revision,omitempty"`
	// WriteID is unique to the write that made this revision.
	WriteID string `json:"write-id,omitempty"`
	// Note is the operator's reason for the change.
	Note string `json:"note,omitempty"`
	// Accounts lists the client accounts.
	Accounts []account `json:"accounts"`
	// Entries lists the models and services that callers may request.
	Entries []entry.Entry `json:"entries"`
	// Moves lists the latest move of each entry, running or ended; it is maintained by the system, not by operators.
	Moves []move.Move `json:"moves,omitempty"`
}

// Parse decodes a catalogue and checks it; unknown fields and duplicate keys are faults.
//
// It returns all faults found, each a *fault.Error with the field's path where it is known.
func Parse(data []byte) (*Catalogue, []error) {
	c := &Catalogue{}
	if err := strict.Decode(data, c); err != nil {
		return nil, []error{err}
	}
	if faults := c.Check(); len(faults) > 0 {
		return nil, faults
	}
	return c, nil
}

// Clone returns a copy in which accounts, entries, routes and moves can be changed independently.
func (c *Catalogue) Clone() *Catalogue {
	n := *c
	n.Accounts = slices.Clone(c.Accounts)
	n.Entries = slices.Clone(c.Entries)
	for i := range n.Entries {
		n.Entries[i].Routes = slices.Clone(n.Entries[i].Routes)
	}
	n.Moves = slices.Clone(c.Moves)
	return &n
}

// Entry returns the entry with the given name, or nil.
func (c *Catalogue) Entry(name label.Name) *entry.Entry {
	for i := range c.Entries {
		if c.Entries[i].Name == name {
			return &c.Entries[i]
		}
	}
	return nil
}

// Scale returns the account's scale, or 0 for an unknown account.
func (c *Catalogue) Scale(id acct.ID) float64 {
	for i := range c.Accounts {
		if c.Accounts[i].ID == id {
			return c.Accounts[i].Scale
		}
	}
	return 0
}

// Move returns the latest move of the entry, or nil.
func (c *Catalogue) Move(name label.Name) *move.Move {
	for i := range c.Moves {
		if c.Moves[i].Entry == name {
			return &c.Moves[i]
		}
	}
	return nil
}

// SetMove sets m as the latest move of its entry.
func (c *Catalogue) SetMove(m move.Move) {
	if old := c.Move(m.Entry); old != nil {
		*old = m
		return
	}
	c.Moves = append(c.Moves, m)
}

// Diff returns the differences between two catalogues, one line for each changed account, entry or move.
func Diff(from, to *Catalogue) []string {
	var lines []string
	lines = append(lines, diffItems("account", from.Accounts, to.Accounts, func(a account) string { return string(a.ID) })...)
	lines = append(lines, diffItems("entry", from.Entries, to.Entries, func(e entry.Entry) string { return string(e.Name) })...)
	lines = append(lines, diffItems("move", from.Moves, to.Moves, func(m move.Move) string { return string(m.Entry) })...)
	return lines
}

func diffItems[T any](itemType string, from, to []T, name func(T) string) []string {
	var lines []string
	before := map[string][]byte{}
	for _, item := range from {
		before[name(item)] = encode(item)
	}
	for _, item := range to {
		was, found := before[name(item)]
		delete(before, name(item))
		now := encode(item)
		switch {
		case !found:
			lines = append(lines, fmt.Sprintf("+ %s %s %s", itemType, name(item), now))
		case !bytes.Equal(was, now):
			lines = append(lines, fmt.Sprintf("~ %s %s %s -> %s", itemType, name(item), was, now))
		}
	}
	for _, item := range from {
		if was, removed := before[name(item)]; removed {
			lines = append(lines, fmt.Sprintf("- %s %s %s", itemType, name(item), was))
		}
	}
	return lines
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte(err.Error())
	}
	return data
}
