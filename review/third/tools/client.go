package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// requestKind is a kind of request that clients send.
type requestKind struct {
	method, path string
	perSecond    float64
	deadline     time.Duration
	body         string
	header       map[string]string
	// patience is the longest gap before an event of a stream after which the client leaves, 0 for a plain request.
	patience time.Duration
	// events is the number of events of a whole stream.
	events int
}

// outcome is what a client got for one request.
type outcome struct {
	id, path string
	sent     time.Time
	took     time.Duration
	status   int
	// whole is set if the answer was complete, and left if the client gave up before that.
	whole, left bool
	// kept is set if the request was sent on a channel that had served another one before.
	kept bool
	err  error
}

// clients sends requests at a constant rate and records what came of each.
type clients struct {
	rec         *record
	host, key   string
	directories []string
	client      *http.Client

	mu       sync.Mutex
	resolved []string
	known    time.Time
	outcomes []outcome
	sentAt   map[string]time.Time
	running  sync.WaitGroup
}

func newClients(rec *record, host, key string, directories []string) *clients {
	t := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second, DisableCompression: true}
	return &clients{rec: rec, host: host, key: key, directories: directories, client: &http.Client{Transport: t}, sentAt: map[string]time.Time{}}
}

// addresses asks an entry host where to connect, and keeps the answer for a second.
func (c *clients) addresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.known) < time.Second && len(c.resolved) > 0 {
		return c.resolved
	}
	web := &http.Client{Timeout: time.Second}
	for _, d := range c.directories {
		resp, err := web.Get("http://" + d + "/resolve?name=" + c.host + "&region=cz-morava&zone=morava-a")
		if err != nil {
			continue
		}
		var a struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
		if err == nil && len(a.Addresses) > 0 {
			c.resolved, c.known = a.Addresses, time.Now()
			break
		}
	}
	return c.resolved
}

// run sends requests of a kind at its rate until ctx ends.
func (c *clients) run(ctx context.Context, k requestKind) {
	gap := time.Duration(float64(time.Second) / k.perSecond)
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		all := c.addresses()
		if len(all) == 0 {
			continue
		}
		to := all[rand.IntN(len(all))]
		c.running.Go(func() { c.send(to, k) })
	}
}

// send sends one request and records its outcome.
func (c *clients) send(to string, k requestKind) outcome {
	o := outcome{id: fmt.Sprintf("%016x", rand.Uint64()), path: k.path, sent: time.Now()}
	c.mu.Lock()
	c.sentAt[o.id] = o.sent
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { o.kept = i.Reused }})
	req, err := http.NewRequestWithContext(ctx, k.method, "http://"+to+k.path, strings.NewReader(k.body))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Host = c.host
	req.Header.Set("Dragonflyroute-Request-Id", o.id)
	req.Header.Set("Dragonflyroute-Deadline-Ms", fmt.Sprint(k.deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range k.header {
		req.Header.Set(name, value)
	}
	c.receive(&o, k, req, cancel)
	o.took = time.Since(o.sent)
	c.rec.line("request %s %s to %s, sent at %.3f: kept channel %v, status %d, whole=%v, left=%v, took %d ms, error %v", o.id, k.path, to, c.rec.since(o.sent), o.kept, o.status, o.whole, o.left, o.took.Milliseconds(), o.err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	return o
}

// receive sends a request and reads its answer; a client that waits too long for an event leaves.
func (c *clients) receive(o *outcome, k requestKind, req *http.Request, cancel context.CancelFunc) {
	var gone sync.Once
	leave := func() { gone.Do(func() { o.left = true; cancel() }) }
	var timer *time.Timer
	if k.patience > 0 {
		timer = time.AfterFunc(k.patience, leave)
		defer timer.Stop()
	}
	resp, err := c.client.Do(req)
	if err != nil {
		o.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	if k.patience == 0 || o.status != http.StatusOK {
		_, o.err = io.ReadAll(resp.Body)
		o.whole = o.err == nil
		return
	}
	events := 0
	r := bufio.NewReader(resp.Body)
	for {
		line, err := r.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			events++
			timer.Reset(k.patience)
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			o.err = err
		}
		o.whole = err == io.EOF && events == k.events
		return
	}
}

// summary returns the number of requests by status, whole and left.
func (c *clients) summary(from, to time.Time) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for _, o := range c.outcomes {
		if o.sent.Before(from) || !o.sent.Before(to) {
			continue
		}
		name := fmt.Sprint(o.status)
		switch {
		case o.left:
			name = "client left"
		case !o.whole:
			name += " incomplete"
		}
		out[name]++
	}
	return out
}

// served returns the number of requests on a path in a time, and of those that got a whole success.
func (c *clients) served(path string, from, to time.Time) (all, whole int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outcomes {
		if o.path != path || o.sent.Before(from) || !o.sent.Before(to) {
			continue
		}
		all++
		if o.status == http.StatusOK && o.whole {
			whole++
		}
	}
	return all, whole
}
