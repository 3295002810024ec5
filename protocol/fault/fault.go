// Package fault holds the error type that all packages return.
package fault

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// ContentType is the media type of a problem document (RFC 9457).
const ContentType = "application/problem+json"

const typePrefix = "urn:dragonflyroute:problem:"

// Error is a failure with a kind, the invalid input field, if any, and a reason.
type Error struct {
	// Kind is the category of the failure.
	Kind kind.Kind
	// Field is the path of the invalid input field, empty when the error is not about a field.
	Field string
	// Reason describes the failure in one sentence.
	Reason string
	// RetryAfter is the time to wait before a retry, zero when no retry is advised.
	RetryAfter time.Duration
	// Cause is the underlying error, if any.
	Cause error
}

// Error returns kind, field and reason on one line.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Kind.String())
	if e.Field != "" {
		b.WriteString(": ")
		b.WriteString(e.Field)
	}
	b.WriteString(": ")
	b.WriteString(e.Reason)
	if e.Cause != nil {
		b.WriteString(": ")
		b.WriteString(e.Cause.Error())
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Is reports whether target is an *Error of the same kind.
func (e *Error) Is(target error) bool {
	other, ok := target.(*Error)
	return ok && other.Kind == e.Kind
}

// New returns an error of kind k about field, with a formatted reason.
func New(k kind.Kind, field, format string, args ...any) *Error {
	return &Error{Kind: k, Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind k caused by err, or nil when err is nil.
func Wrap(k kind.Kind, err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return &Error{Kind: k, Reason: fmt.Sprintf(format, args...), Cause: errors.WithStack(err)}
}

// WithRetryAfter returns a copy of e with RetryAfter set.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	c := *e
	c.RetryAfter = wait
	return &c
}

// From returns the *Error in err's chain, or a new one of kind Internal that wraps err.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: kind.Internal, Reason: "unexpected failure", Cause: err}
}

// KindOf returns the kind of err, Internal when it wraps no *Error.
func KindOf(err error) kind.Kind {
	return From(err).Kind
}

type problem struct {
	Type       string  `json:"type"`
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Detail     string  `json:"detail"`
	Field      string  `json:"field,omitempty"`
	RetryAfter float64 `json:"retry-after-seconds,omitempty"`
}

// MarshalJSON writes the error as a problem document (RFC 9457). The cause is left out, as it may hold internal details.
func (e *Error) MarshalJSON() ([]byte, error) {
	return json.Marshal(problem{
		Type:       typePrefix + e.Kind.String(),
		Title:      e.Kind.String(),
		Status:     e.Kind.Status(),
		Detail:     e.Reason,
		Field:      e.Field,
		RetryAfter: e.RetryAfter.Seconds(),
	})
}

// UnmarshalJSON reads a problem document (RFC 9457).
func (e *Error) UnmarshalJSON(data []byte) error {
	var p problem
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	e.Kind = kind.Parse(strings.TrimPrefix(p.Type, typePrefix))
	e.Field = p.Field
	e.Reason = p.Detail
	e.RetryAfter = time.Duration(p.RetryAfter * float64(time.Second))
	return nil
}
