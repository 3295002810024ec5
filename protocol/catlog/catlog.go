// Package catlog holds the catalogue: all that operators state, with its revision.
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
	// ID names the account.
	ID acct.ID `json:"id"`
	// Scale multiplies the limits of every entry for this account.
	Scale float64 `json:"scale"`
}

// Catalogue is one immutable revision of the operators' statements and the moves under way.
type Catalogue struct {
	// Revision counts accepted changes; zero is a draft that was not accepted yet.
	Revision int64 `json:"revision,omitempty"`
	// WriteID is unique to the write that made this revision.
	WriteID string `json:"write-id,omitempty"`
	// Note is the operator's reason for the change.
	Note string `json:"note,omitempty"`
	// Accounts lists the customers.
	Accounts []account `json:"accounts"`
	// Entries lists what callers may ask for.
	Entries []entry.Entry `json:"entries"`
	// Moves lists the moves under way and the last ended one of each entry; operators never write it.
	Moves []move.Move `json:"moves,omitempty"`
}

// Parse reads a catalogue strictly and checks it.
//
// All faults found are returned, each a *fault.Error with the field's path.
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

// Clone returns a deep copy.
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

// SetMove replaces the latest move of its entry.
func (c *Catalogue) SetMove(m move.Move) {
	if old := c.Move(m.Entry); old != nil {
		*old = m
		return
	}
	c.Moves = append(c.Moves, m)
}

// Diff lists what differs between two catalogues, one line for each account, entry or move.
func Diff(from, to *Catalogue) []string {
	var lines []string
	lines = append(lines, diffItems("account", from.Accounts, to.Accounts, func(a account) string { return string(a.ID) })...)
	lines = append(lines, diffItems("entry", from.Entries, to.Entries, func(e entry.Entry) string { return string(e.Name) })...)
	lines = append(lines, diffItems("move", from.Moves, to.Moves, func(m move.Move) string { return string(m.Entry) })...)
	return lines
}

func diffItems[T any](sort string, from, to []T, name func(T) string) []string {
	var lines []string
	old := map[string][]byte{}
	for _, item := range from {
		old[name(item)] = encode(item)
	}
	for _, item := range to {
		was, found := old[name(item)]
		delete(old, name(item))
		now := encode(item)
		switch {
		case !found:
			lines = append(lines, fmt.Sprintf("+ %s %s %s", sort, name(item), now))
		case !bytes.Equal(was, now):
			lines = append(lines, fmt.Sprintf("~ %s %s %s -> %s", sort, name(item), was, now))
		}
	}
	for _, item := range from {
		if was, gone := old[name(item)]; gone {
			lines = append(lines, fmt.Sprintf("- %s %s %s", sort, name(item), was))
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
