// Package policy holds the current revision of the operator's configuration, indexed for look-ups.
package policy

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/dragonflyroute/dragonflyroute/protocol/acct"
	"github.com/dragonflyroute/dragonflyroute/protocol/back"
	"github.com/dragonflyroute/dragonflyroute/protocol/client"
	"github.com/dragonflyroute/dragonflyroute/protocol/label"
	"github.com/dragonflyroute/dragonflyroute/protocol/path"
	"github.com/dragonflyroute/dragonflyroute/protocol/rules"
)

// Policy holds the highest revision of the configuration that the process has seen; it never accepts a lower one.
//
// All methods may be called concurrently.
type Policy struct {
	mu      sync.Mutex
	current atomic.Pointer[index]
}

type index struct {
	rules  *rules.Config
	hosts  map[string][]*path.Route
	keys   map[string]*client.Account
	byName map[label.Name]*back.Backend
	named  map[acct.ID]*client.Account
}

// Offer installs a revision if it is higher than the current one, and reports whether it did.
func (p *Policy) Offer(r *rules.Config) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.current.Load(); old != nil && old.rules.Revision >= r.Revision {
		return false
	}
	p.current.Store(newIndex(r))
	return true
}

func newIndex(r *rules.Config) *index {
	x := &index{rules: r, hosts: map[string][]*path.Route{}, keys: map[string]*client.Account{}, byName: map[label.Name]*back.Backend{}, named: map[acct.ID]*client.Account{}}
	for i := range r.Routes {
		t := &r.Routes[i]
		x.hosts[t.Hostname] = append(x.hosts[t.Hostname], t)
	}
	for _, all := range x.hosts {
		slices.SortStableFunc(all, func(a, b *path.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range r.Accounts {
		x.named[r.Accounts[i].Name] = &r.Accounts[i]
		for _, key := range r.Accounts[i].Keys {
			x.keys[key] = &r.Accounts[i]
		}
	}
	for i := range r.Backends {
		x.byName[r.Backends[i].Name] = &r.Backends[i]
	}
	return x
}

// Rules returns the current revision, nil while none is known.
func (p *Policy) Rules() *rules.Config {
	if x := p.current.Load(); x != nil {
		return x.rules
	}
	return nil
}

// Match returns the host's route whose prefix is the longest that the URL path begins with, nil when there is none.
func (p *Policy) Match(host, urlPath string) *path.Route {
	x := p.current.Load()
	if x == nil {
		return nil
	}
	for _, t := range x.hosts[host] {
		if strings.HasPrefix(urlPath, t.Prefix) {
			return t
		}
	}
	return nil
}

// Account returns the account that holds a key, nil when there is none.
func (p *Policy) Account(key string) *client.Account {
	if x := p.current.Load(); x != nil {
		return x.keys[key]
	}
	return nil
}

// Named returns the account with an id, nil when there is none.
func (p *Policy) Named(id acct.ID) *client.Account {
	if x := p.current.Load(); x != nil {
		return x.named[id]
	}
	return nil
}

// Backend returns a back end, nil when it is not known.
func (p *Policy) Backend(name label.Name) *back.Backend {
	if x := p.current.Load(); x != nil {
		return x.byName[name]
	}
	return nil
}
