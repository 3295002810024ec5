// Package task holds a request that one host asks another to place at an endpoint.
package task

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/centre"
	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/event"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
)

// Task is a request to be placed at one of a shard's endpoints.
type Task struct {
	// ID names the request at the host that places it. The host that asks chooses it at random, so that it can end a request
	// to which it got no answer.
	ID int64 `json:"id"`
	// Backend is the back end that serves the request.
	Backend label.Name `json:"backend"`
	// Shard is the number of the shard, below Shards, into which the back end's endpoints are divided.
	Shard  int `json:"shard"`
	Shards int `json:"shards"`
	// DataCentre is the data centre of the host that sends the request.
	DataCentre centre.ID `json:"data-centre"`
	// Account is the request's account, empty on public routes, and Weight its weight among others, 0 if it has none.
	Account acct.ID `json:"account,omitempty"`
	Weight  float64 `json:"weight,omitempty"`
	// Priority is the request's priority; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// TargetLatency is the time to the first part of the answer that the request's route aims for.
	TargetLatency time.Duration `json:"target,omitempty"`
	// Left is the time until the request's deadline.
	Left time.Duration `json:"left,omitempty"`
	// Waited is for how long the request was held at its host.
	Waited time.Duration `json:"waited,omitempty"`
	// Spilled is set if another shard is short of room for the request; it is not held for this one.
	Spilled bool `json:"spilled,omitempty"`
	// PromptTokens and OutTokens are the length of the prompt and the most tokens to generate.
	PromptTokens int64 `json:"prompt"`
	OutTokens    int64 `json:"out,omitempty"`
	// Parts holds the hashes of the prompt's parts in order, and Lengths their tokens.
	Parts   []uint64 `json:"parts,omitempty"`
	Lengths []int64  `json:"lengths,omitempty"`
	// Excluded lists the endpoints that must not get the request.
	Excluded []endpt.ID `json:"excluded,omitempty"`
	// Donor is an endpoint of another shard that has all but DonorUncached tokens of the prompt cached, empty for none.
	Donor         endpt.ID `json:"donor,omitempty"`
	DonorUncached int64    `json:"donor-uncached,omitempty"`
	// Events holds what became of earlier requests.
	Events []event.Event `json:"events,omitempty"`
}

// maxParts bounds the parts of a prompt in a task: the first ones decide where it is cached, and callers choose their number.
const maxParts = 128

// SetPrompt sets the prompt to that of a request, of which only the first parts count.
func (t *Task) SetPrompt(w *work.Request) {
	t.PromptTokens, t.OutTokens = w.PromptTokens, w.OutTokens
	for _, p := range w.Parts[:min(len(w.Parts), maxParts)] {
		t.Parts = append(t.Parts, p.Hash)
		t.Lengths = append(t.Lengths, p.Tokens)
	}
}

// Request returns what the task says of the request.
func (t *Task) Request() *work.Request {
	w := &work.Request{Backend: t.Backend, Priority: t.Priority, PromptTokens: t.PromptTokens, OutTokens: t.OutTokens}
	for i, hash := range t.Parts[:min(len(t.Parts), len(t.Lengths))] {
		w.AddPart(hash, t.Lengths[i])
	}
	return w
}
