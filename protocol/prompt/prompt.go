// Package prompt holds a model request as callers send it.
package prompt

import (
	"encoding/json"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Prompt is a completion request in the shape that clients of model engines speak.
type Prompt struct {
	// Model is the catalogue entry.
	Model label.Name
	// Prompt is the text to complete.
	Prompt string
	// MaxTokens bounds the answer; zero means the entry's bound.
	MaxTokens int
	// Stream asks for server-sent events.
	Stream bool
	// Partial holds the tokens that the caller already has when it resumes a stream without a known request id.
	Partial []string
	// Version is the version that generated Partial, as the answer's system_fingerprint told; empty if not known.
	Version label.Name
	// Extra holds further parameters, which engines get as they are.
	Extra map[string]json.RawMessage
}

// Parse reads a request's JSON body; fields that are not listed above are kept in Extra.
func Parse(data []byte) (*Prompt, error) {
	p := &Prompt{Extra: map[string]json.RawMessage{}}
	if err := json.Unmarshal(data, &p.Extra); err != nil {
		return nil, fault.New(kind.BadRequest, "", "the body is not a JSON object: %s", err)
	}
	fields := []struct {
		name string
		to   any
	}{
		{"model", &p.Model},
		{"prompt", &p.Prompt},
		{"max_tokens", &p.MaxTokens},
		{"stream", &p.Stream},
		{"partial", &p.Partial},
		{"system_fingerprint", &p.Version},
	}
	for _, f := range fields {
		raw, ok := p.Extra[f.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, f.to); err != nil {
			return nil, fault.New(kind.BadRequest, f.name, "%s does not fit here", raw)
		}
		delete(p.Extra, f.name)
	}
	delete(p.Extra, "priority")
	return p, p.check()
}

func (p *Prompt) check() error {
	if !p.Model.Valid() {
		return fault.New(kind.BadRequest, "model", "%q is not the name of an entry", p.Model)
	}
	if p.Prompt == "" {
		return fault.New(kind.BadRequest, "prompt", "must not be empty")
	}
	if p.Version != "" && !p.Version.Valid() {
		return fault.New(kind.BadRequest, "system_fingerprint", "%q is not the name of a version", p.Version)
	}
	if p.MaxTokens < 0 {
		return fault.New(kind.BadRequest, "max_tokens", "must not be negative")
	}
	if n, ok := p.Extra["n"]; ok && string(n) != "1" {
		return fault.New(kind.BadRequest, "n", "only one answer for each request is given")
	}
	return nil
}
