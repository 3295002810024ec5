package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyroute/dragonflyroute/protocol/endpt"
	"github.com/dragonflyroute/dragonflyroute/protocol/roster"
)

// hostExpiry is the time since its last report after which a host is removed from the list.
const hostExpiry = 2 * time.Second

type platformCmd struct {
	Listen string `required:"" help:"IP address and port."`
}

// platformFaults holds the injected faults, which are set over HTTP while the platform runs.
type platformFaults struct {
	Outage bool `json:"outage"`
	SlowMS int  `json:"slow-ms"`
	// LoseEvery drops the response to every nth commit after the commit has taken effect; 0 drops none.
	LoseEvery int `json:"lose-every"`
	// IgnoreFence makes the cloud accept orders with stale fencing numbers.
	IgnoreFence bool `json:"ignore-fence"`
	// ListLagMS is the delay of the host list in milliseconds.
	ListLagMS int `json:"list-lag-ms"`
}

type platformStats struct {
	Commits     int64 `json:"commits"`
	Reads       int64 `json:"reads"`
	LostAnswers int64 `json:"lost"`
}

type hostReport struct {
	row      roster.Row
	received time.Time
}

type platform struct {
	mu        sync.Mutex
	table     table
	hosts     map[endpt.ID]hostReport
	snapshots []hostListSnapshot
	faults    platformFaults
	stats     platformStats
	cloud     cloud
}

type hostListSnapshot struct {
	at   time.Time
	rows []roster.Row
}

// Run serves the platform until ctx ends.
func (c *platformCmd) Run(ctx context.Context) error {
	p := &platform{hosts: map[endpt.ID]hostReport{}}
	m := http.NewServeMux()
	m.HandleFunc("POST /v3/kv/range", p.faulty(p.kvRange))
	m.HandleFunc("POST /v3/kv/txn", p.faulty(p.kvTxn))
	m.HandleFunc("GET /hosts", p.faulty(p.list))
	m.HandleFunc("POST /hosts", p.faulty(p.register))
	m.HandleFunc("POST /cloud/reclaim", p.reclaim)
	m.HandleFunc("GET /cloud/offers", p.faulty(p.getOffers))
	m.HandleFunc("POST /cloud/offers", p.setOffers)
	m.HandleFunc("POST /cloud/wishes", p.faulty(p.setDesired))
	m.HandleFunc("GET /cloud/wishes", p.getDesired)
	m.HandleFunc("POST /faults", p.setFaults)
	m.HandleFunc("GET /stats", p.getStats)
	return serve(ctx, c.Listen, m)
}

func (p *platform) faulty(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		p.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		if f.Outage {
			http.Error(w, "simulated outage", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (p *platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f platformFaults
	if err := read(r, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	reply(w, f)
}

func (p *platform) getStats(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply(w, p.stats)
}

func (p *platform) kvRange(w http.ResponseWriter, r *http.Request) {
	var q rangeRequest
	if err := read(r, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stats.Reads++
	reply(w, p.table.get(string(q.Key)))
}

func (p *platform) kvTxn(w http.ResponseWriter, r *http.Request) {
	var q txnRequest
	if err := read(r, &q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.stats.Commits++
	response := p.table.commit(q)
	lost := p.faults.LoseEvery > 0 && p.stats.Commits%int64(p.faults.LoseEvery) == 0
	if lost {
		p.stats.LostAnswers++
	}
	p.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, response)
}

func (p *platform) register(w http.ResponseWriter, r *http.Request) {
	var row roster.Row
	if err := read(r, &row); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[row.ID] = hostReport{row: row, received: time.Now()}
	reply(w, row)
}

// list answers with the newest snapshot of the host list that is at least as old as the lag, or the oldest one.
func (p *platform) list(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.snapshots = append(p.snapshots, hostListSnapshot{at: now, rows: p.liveRows(now)})
	lag := time.Duration(p.faults.ListLagMS) * time.Millisecond
	for len(p.snapshots) > 1 && now.Sub(p.snapshots[1].at) >= lag {
		p.snapshots = p.snapshots[1:]
	}
	body, err := json.Marshal(p.snapshots[0].rows)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (p *platform) liveRows(now time.Time) []roster.Row {
	rows := []roster.Row{}
	for id, h := range p.hosts {
		if now.Sub(h.received) > hostExpiry {
			delete(p.hosts, id)
			continue
		}
		rows = append(rows, h.row)
	}
	slices.SortFunc(rows, func(a, b roster.Row) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return rows
}

// reclaim sends a reclaim notice to every reclaimable endpoint of a data centre and answers with those it reached.
func (p *platform) reclaim(w http.ResponseWriter, r *http.Request) {
	var order struct {
		DataCentre   string `json:"data-centre"`
		NoticeMillis int64  `json:"notice-ms"`
	}
	if err := read(r, &order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	rows := p.liveRows(time.Now())
	p.mu.Unlock()
	notified := []endpt.ID{}
	for _, row := range rows {
		if !row.Reclaimable || string(row.DataCentre) != order.DataCentre {
			continue
		}
		data, _ := json.Marshal(map[string]int64{"notice-ms": order.NoticeMillis})
		if resp, err := http.Post("http://"+row.Address+"/reclaim", "application/json", bytes.NewReader(data)); err == nil {
			_ = resp.Body.Close()
			notified = append(notified, row.ID)
		}
	}
	reply(w, notified)
}
