package catlog

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/class"
	"github.com/dragonflyroute/dragonflyroute/protocol/entry"
	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/guard"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
)

const (
	maxScale  = 1000
	maxTokens = 1 << 20
	maxRate   = 1e6
)

type checker struct {
	faults []error
}

func (k *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		k.faults = append(k.faults, fault.New(kind.BadRequest, field, format, args...))
	}
}

// Check returns every fault of the catalogue: invalid names, values out of range, duplicates and dangling references.
func (c *Catalogue) Check() []error {
	k := &checker{}
	accounts := c.checkAccounts(k)
	seen, guards := map[label.Name]bool{}, map[label.Name]guard.Guard{}
	for i := range c.Entries {
		path := fmt.Sprintf("entries[%d]", i)
		e := &c.Entries[i]
		k.require(!seen[e.Name], path+".name", "duplicate entry %q", e.Name)
		seen[e.Name] = true
		k.require(accounts[e.Owner], path+".owner", "account %q does not exist", e.Owner)
		checkEntry(k, path, e)
		if g, known := guards[e.Backend]; known {
			k.require(g == e.EngineOrders, path+".engine-orders", "another entry of back end %q has %q", e.Backend, g)
		}
		guards[e.Backend] = e.EngineOrders
	}
	for i := range c.Moves {
		k.require(seen[c.Moves[i].Entry], fmt.Sprintf("moves[%d].entry", i), "entry %q does not exist", c.Moves[i].Entry)
	}
	return k.faults
}

func (c *Catalogue) checkAccounts(k *checker) map[acct.ID]bool {
	known := map[acct.ID]bool{}
	for i, a := range c.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		k.require(label.Name(a.ID).Valid(), path+".id", "%q is not a kebab-case name", a.ID)
		k.require(!known[a.ID], path+".id", "duplicate account %q", a.ID)
		k.require(a.Scale > 0 && a.Scale <= maxScale, path+".scale", "%g is outside 0 to %d", a.Scale, maxScale)
		known[a.ID] = true
	}
	return known
}

func checkEntry(k *checker, path string, e *entry.Entry) {
	k.require(e.Name.Valid(), path+".name", "%q is not a kebab-case name", e.Name)
	k.require(e.Backend.Valid(), path+".backend", "%q is not a kebab-case name", e.Backend)
	k.require(e.Version.Valid(), path+".version", "%q is not a kebab-case name", e.Version)
	k.require(e.PriceCeiling > 0, path+".price-ceiling-micros-per-hour", "must be above 0")
	k.require(e.Refund >= 0, path+".refund-micros", "must not be negative")
	checkLimits(k, path+".limits", e)
	if e.Class == class.Call {
		k.require(e.EngineOrders == guard.None, path+".engine-orders", "not allowed for a service entry: its endpoints accept no engine orders")
		checkRoutes(k, path, e)
		return
	}
	k.require(len(e.Routes) == 0, path+".routes", "not allowed for a model entry")
}

func checkLimits(k *checker, path string, e *entry.Entry) {
	l := &e.Limits
	k.require(l.Answer > 0, path+".answer", "must be above 0")
	k.require(l.Rate > 0 && l.Rate <= maxRate, path+".rate-per-second", "%g is outside 0 to %g", l.Rate, float64(maxRate))
	k.require(l.Burst > 0, path+".burst", "must be above 0")
	k.require(l.Concurrent > 0, path+".concurrent", "must be above 0")
	if e.Class == class.Call {
		k.require(l.MaxTokens == 0, path+".max-tokens", "not allowed for a service entry")
		return
	}
	k.require(l.MaxTokens > 0 && l.MaxTokens <= maxTokens, path+".max-tokens", "%d is outside 1 to %d", l.MaxTokens, maxTokens)
	k.require(l.FirstToken > 0, path+".first-token", "must be above 0")
	k.require(l.BetweenTokens > 0, path+".between-tokens", "must be above 0")
	k.require(l.Answer >= l.FirstToken, path+".answer", "must not be below first-token")
}

func checkRoutes(k *checker, path string, e *entry.Entry) {
	k.require(len(e.Routes) > 0, path+".routes", "a service entry needs at least one route")
	seen := map[string]bool{}
	for i := range e.Routes {
		r := &e.Routes[i]
		field := fmt.Sprintf("%s.routes[%d]", path, i)
		k.require(r.Name.Valid(), field+".name", "%q is not a kebab-case name", r.Name)
		k.require(strings.HasPrefix(r.Path, "/"), field+".path", "%q does not start with /", r.Path)
		k.require(isMethod(r.Method), field+".method", "%q is not an HTTP method", r.Method)
		id := r.Method + " " + r.Path
		k.require(!seen[id], field, "duplicate route %s", id)
		seen[id] = true
	}
}

func isMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch:
		return true
	default:
		return false
	}
}
