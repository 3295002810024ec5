package scene_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	// requestIDLength is the length of a request's id.
	requestIDLength = 16
	// maxThinkTime is the longest pause of a caller between requests.
	maxThinkTime = 120 * time.Millisecond
	// routeHistory is the number of recent configurations whose routes callers request.
	routeHistory = 3
)

// soakCaller sends requests one after the other over connections that it keeps alive.
type soakCaller struct {
	soak     *soak
	index    int
	rand     *rand.Rand
	requests int
	client   *http.Client
	// next sends the next request.
	next func()
}

// soakAnswer is one request of a caller and its response.
type soakAnswer struct {
	id   string
	host int
	// version is the configuration that has the request's route, 0 for routes that all configurations have.
	version int
	// restarts and newest are the checker's values for the host when the request is sent.
	restarts, newest int
	sent, ended      time.Time
	status           int
	header           http.Header
	body             string
	// events are the event ids of a stream.
	events []string
	err    error
	// part is the shared part of the prompt that differs between requests, empty for a request without a prompt; crashing
	// reports whether it crashes endpoints.
	part     string
	crashing bool
	// stream reports whether it was sent on the route of streams.
	stream bool
	// stopped and disturbed report whether the host was told to stop, or had a fault, at some time during the request.
	stopped, disturbed bool
}

func (c *soakCaller) run(ctx context.Context) error {
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		c.next()
		time.Sleep(time.Duration(c.rand.Int64N(int64(maxThinkTime))))
	}
	return nil
}

// newAnswer returns the next request to a host.
func (c *soakCaller) newAnswer(host int) *soakAnswer {
	c.requests++
	return &soakAnswer{id: fmt.Sprintf("%08x%08x", 0x1000+c.index, c.requests), host: host}
}

// sendOne sends a request of a random kind to a random host.
func (c *soakCaller) sendOne() {
	host, to := c.soak.randomCallerLink(c.rand)
	a := c.newAnswer(host)
	path := []string{"/call/x", "/call/slow", "/stream/x", "/open/slow", "/only"}[c.rand.IntN(5)]
	version, restarts, newest := c.soak.checker.requestSent(a.id, strings.HasPrefix(path, "/call/"), a.host)
	a.restarts, a.newest = restarts, newest
	if path == "/only" {
		a.version = max(1, version-c.rand.IntN(routeHistory))
		path = fmt.Sprintf("/only-%d/x", a.version)
	}
	c.send(a, to, path)
}

// send sends a request and has the checker record its response.
func (c *soakCaller) send(a *soakAnswer, to *link, path string) {
	a.stream = strings.HasPrefix(path, "/stream/")
	a.sent = time.Now()
	c.exchange(a, to, path)
	a.ended = time.Now()
	c.soak.checker.answerReceived(a)
}

// exchange sends a request and reads its response.
func (c *soakCaller) exchange(a *soakAnswer, to *link, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+2*answerSlack)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.address+path, strings.NewReader("body"))
	if err != nil {
		a.err = err
		return
	}
	r.Host = "plans.example"
	r.Header.Set("Dragonflyroute-Request-Id", a.id)
	r.Header.Set("Dragonflyroute-Deadline-Ms", fmt.Sprint(requestTimeout.Milliseconds()))
	r.Header.Set("Authorization", "Bearer always")
	if a.part != "" {
		r.Header.Set("Dragonflyroute-Token-Usage", "60,12")
		r.Header.Set("Dragonflyroute-Prompt-Prefix", fmt.Sprintf("%s:30,%s:20,%s:10", firstPart, a.part, a.id))
	}
	resp, err := c.client.Do(r)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.header = resp.StatusCode, resp.Header
	if a.status == http.StatusOK && a.stream {
		a.events, a.err = eventIDs(resp.Body)
		return
	}
	data, err := io.ReadAll(resp.Body)
	a.body, a.err = string(data), err
}

// eventIDs returns the ids of a stream's events, and an error if the connection failed.
func eventIDs(body io.Reader) ([]string, error) {
	ids := []string{}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids, lines.Err()
}
