// Package period holds durations in the text form of settings and catalogues.
package period

import (
	"time"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// Period is a duration written with its unit, such as "1.2s" or "42ms".
type Period time.Duration

// Duration returns the period as a time.Duration.
func (p Period) Duration() time.Duration { return time.Duration(p) }

// MarshalText writes the period with its unit.
func (p Period) MarshalText() ([]byte, error) { return []byte(p.Duration().String()), nil }

// UnmarshalText reads a period; it returns a BadRequest error for a number without a unit.
func (p *Period) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil {
		return fault.New(kind.BadRequest, "", "%q is not a duration with a unit, such as 1.5s", text)
	}
	*p = Period(d)
	return nil
}
