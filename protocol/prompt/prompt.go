// Package prompt parses model requests as callers send them.
package prompt

import (
	"encoding/json"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

// Request is a completion request in the JSON format of model engines.
type Request struct {
	// Model is the name of the catalogue entry.
	Model label.Name
	// Prompt is the text to complete.
	Prompt string
	// MaxTokens is the maximum number of tokens to generate; 0 means the entry's maximum.
	MaxTokens int
	// Stream requests the answer as server-sent events.
	Stream bool
	// Partial holds the tokens that the caller already received, when it resumes a stream without a known request id.
	Partial []string
	// Version is the version that generated Partial, taken from the answer's system_fingerprint; empty if not known.
	Version label.Name
	// Extra holds other parameters, which are forwarded to engines unchanged.
	Extra map[string]json.RawMessage
}

// Parse reads a request's JSON body. Fields that Request does not list are kept in Extra, except for priority, which
// callers may not set.
func Parse(data []byte) (*Request, error) {
	p := &Request{Extra: map[string]json.RawMessage{}}
	if err := json.Unmarshal(data, &p.Extra); err != nil {
		return nil, fault.New(kind.BadRequest, "", "the body is not a JSON object: %s", err)
	}
	fields := []struct {
		name string
		dst  any
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
		if err := json.Unmarshal(raw, f.dst); err != nil {
			return nil, fault.New(kind.BadRequest, f.name, "%s is of the wrong type", raw)
		}
		delete(p.Extra, f.name)
	}
	delete(p.Extra, "priority")
	return p, p.check()
}

func (p *Request) check() error {
	if !p.Model.Valid() {
		return fault.New(kind.BadRequest, "model", "%q is not a valid entry name", p.Model)
	}
	if p.Prompt == "" {
		return fault.New(kind.BadRequest, "prompt", "must not be empty")
	}
	if p.Version != "" && !p.Version.Valid() {
		return fault.New(kind.BadRequest, "system_fingerprint", "%q is not a valid version name", p.Version)
	}
	if p.MaxTokens < 0 {
		return fault.New(kind.BadRequest, "max_tokens", "must not be negative")
	}
	if n, ok := p.Extra["n"]; ok && string(n) != "1" {
		return fault.New(kind.BadRequest, "n", "must be 1: only one answer per request is supported")
	}
	return nil
}
