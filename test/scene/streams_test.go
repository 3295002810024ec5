package scene_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// longRoute is a route of long streams that may be resumed, as part of a configuration.
const longRoute = `,{"name":"long","host":"plans.example","prefix":"/stream/long/","kind":"streaming","resumable":true,"timeoutMs":15000,"targetLatencyMs":1000,"targetGapMs":300,"service":"plume","maxAttempts":2}`

const (
	// longDeadline is the deadline of requests on longRoute.
	longDeadline = 15 * time.Second
	// leastWorkMillis is the least time for which an endpoint works on a stream that counts, as times are rounded.
	leastWorkMillis = 5
	// maxLineBytes bounds a line of a stream.
	maxLineBytes = 64 << 10
	// callerPatience is the pause after which callers of longRoute give a stream up.
	callerPatience = 4 * time.Second
)

// streamRun is an endpoint's run of a stream, as recorded by the stand-in.
type streamRun struct {
	Endpoint    string `json:"endpoint"`
	From        int    `json:"from"`
	Last        int    `json:"last"`
	Complete    bool   `json:"complete"`
	StartMillis int64  `json:"start"`
	EndMillis   int64  `json:"end"`
	// Idle holds the times in which the endpoint did not work on it.
	Idle []struct {
		StartMillis int64 `json:"start"`
		EndMillis   int64 `json:"end"`
	} `json:"idle"`
}

// workedAfter reports whether the endpoint worked on the stream at or after a time.
func (r *streamRun) workedAfter(t time.Time) bool {
	from := max(t.UnixMilli(), r.StartMillis)
	for _, idle := range r.Idle {
		if idle.StartMillis <= from {
			from = max(from, idle.EndMillis)
		}
	}
	return from+leastWorkMillis <= r.EndMillis
}

// streamAnswer is the answer to a request for a stream.
type streamAnswer struct {
	id     string
	status int
	// events holds the ids of the events, and longest is the longest time between two of them.
	events  []string
	longest time.Duration
	// sent and ended are when the request was sent and its answer ended, and bodySent is when its body had been read by the
	// connection, zero if it was not. The error is that of the connection.
	sent, bodySent, ended time.Time
	err                   error
}

// isWhole reports whether all events of a stream have come, once each and in order.
func (a *streamAnswer) isWhole(events int) bool {
	if a.err != nil || len(a.events) != events {
		return false
	}
	for i, id := range a.events {
		if id != strconv.Itoa(i+1) {
			return false
		}
	}
	return true
}

// bodyOf returns a request body: with a length, or in chunks that are sent with a pause between them.
func bodyOf(chunks int, pause time.Duration) io.Reader {
	if chunks == 0 {
		return strings.NewReader("body")
	}
	return &chunkedBody{left: chunks, pause: pause}
}

// chunkedBody is a request body of unknown length that comes in parts.
type chunkedBody struct {
	left  int
	pause time.Duration
	// endedNanos is when it was read to its end, in Unix nanoseconds.
	endedNanos atomic.Int64
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.endedNanos.Store(time.Now().UnixNano())
		return 0, io.EOF
	}
	b.left--
	time.Sleep(b.pause)
	return copy(p, "chunk of the body "), nil
}

// ended returns when the body was read to its end, the zero time if it was not.
func (b *chunkedBody) ended() time.Time {
	if nanos := b.endedNanos.Load(); nanos != 0 {
		return time.Unix(0, nanos)
	}
	return time.Time{}
}

// stream sends a request for a stream and reads its events.
func (c *keptCaller) stream(path string) streamAnswer {
	return c.streamOf(path, bodyOf(0, 0), 0)
}

// streamOf sends a request with a body and a limit of generated tokens, 0 for none, and reads the events of the stream.
func (c *keptCaller) streamOf(path string, body io.Reader, tokens int) streamAnswer {
	return c.readStream(path, body, tokens, 0)
}

// readStream is streamOf for a caller that waits after each event before it reads the next one.
func (c *keptCaller) readStream(path string, body io.Reader, tokens int, delay time.Duration) (a streamAnswer) {
	a.id = nextRequestID()
	r, err := http.NewRequest(http.MethodPost, "http://"+c.host+path, body)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = "plans.example"
	r.GetBody = nil
	r.Header.Set("Dragonflyroute-Request-Id", a.id)
	r.Header.Set("Dragonflyroute-Deadline-Ms", strconv.FormatInt(longDeadline.Milliseconds(), 10))
	r.Header.Set("Authorization", "Bearer k1")
	if tokens > 0 {
		r.Header.Set("Dragonflyroute-Token-Usage", fmt.Sprintf("100,%d", tokens))
	}
	a.sent = time.Now()
	a.bodySent = a.sent
	defer func() {
		a.ended = time.Now()
		if chunks, ok := body.(*chunkedBody); ok {
			a.bodySent = chunks.ended()
		}
	}()
	resp, err := c.client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxLineBytes)
	for last := time.Now(); lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			a.events = append(a.events, id)
			a.longest = max(a.longest, time.Since(last))
			time.Sleep(delay)
			last = time.Now()
		}
	}
	a.err = lines.Err()
	return a
}

// streams sends requests for streams to a host at the same time, each on a kept connection of its own and with further
// parameters of the path, and calls meanwhile once they have all been sent.
func (s *site) streams(host, count int, parameters string, meanwhile func()) []streamAnswer {
	return s.streamsOf(host, count, fmt.Sprintf("events=%d%s", longEvents, parameters), meanwhile)
}

// streamsOf is streams with all parameters of the path.
func (s *site) streamsOf(host, count int, parameters string, meanwhile func()) []streamAnswer {
	path := "/stream/long/x?" + parameters
	answers := make([]streamAnswer, count)
	var g sync.WaitGroup
	for i := range count {
		caller := s.newKeptCaller(host)
		g.Go(func() { answers[i] = caller.stream(path) })
	}
	meanwhile()
	g.Wait()
	return answers
}

// longEvents is the number of events of the streams of streams.
const longEvents = 40

func expectWhole(answers []streamAnswer) {
	GinkgoHelper()
	var broken []string
	for _, a := range answers {
		if !a.isWhole(longEvents) {
			broken = append(broken, fmt.Sprintf("%s: status %d, %d of %d events, error %v", a.id, a.status, len(a.events), longEvents, a.err))
		}
	}
	Expect(broken).To(BeEmpty(), "%d of %d streams", len(broken), len(answers))
}

var _ = Describe("an endpoint that is silent for a while in the middle of its streams", func() {
	// paused is the rest of a path whose streams pause after 8 events of a run, but for the milliseconds.
	const paused = "&gap=20&after=8&pause="
	newSite := func(hosts int) *site {
		s := newSite(hosts)
		s.configure(2, longRoute+onlyRoute(2), `"k1"`)
		for i := range s.hosts {
			Eventually(func() bool { return s.has(i, 2) }).Should(BeTrue())
		}
		return s
	}

	// Guards against streams that are cut at a planned stop since their sound endpoints were silent for a while.
	It("goes on with them at a host that stops", func() {
		s := newSite(2)
		answers := s.streams(1, 6, paused+"1500", func() {
			time.Sleep(200 * time.Millisecond)
			s.hosts[1].signal(syscall.SIGTERM)
		})
		expectWhole(answers)
	})

	// Guards against streams that are cut as the retry budget runs out, though their endpoint would have gone on.
	It("goes on with all of them, though only some may be repeated elsewhere", func() {
		s := newSite(1)
		expectWhole(s.streams(0, 120, paused+"1500&on=i-0", func() {}))
	})

	// Guards against streams that are cut as no other endpoint is left.
	It("goes on with them if there is no other endpoint", func() {
		s := newSite(1)
		s.control("/kill?id=i-1")
		s.control("/kill?id=i-2")
		expectWhole(s.streams(0, 6, paused+"3000", func() {}))
	})

	// Guards against streams that stay with an endpoint which is silent for good.
	It("has them go on elsewhere before their callers give up, if it stays silent", func() {
		s := newSite(1)
		answers := s.streams(0, 9, paused+"30000&on=i-0", func() {})
		expectWhole(answers)
		moved := 0
		seen := s.record()
		for _, a := range answers {
			Expect(a.longest).To(BeNumerically("<", callerPatience))
			if len(seen.Streams[a.id]) == 2 {
				moved++
			}
		}
		Expect(moved).To(BeNumerically(">", 0), "streams that began at the silent endpoint")
	})
})

// stopBeside sends six requests for streams to a host of a new site and stops it 0.2 s later. It returns the streams that the stop
// has cut off while no endpoint was at work on them in the last sixth of the grace period. prepare is called before the
// requests, and meanwhile after the order to stop.
func stopBeside(hosts int, parameters string, prepare, meanwhile func(s *site)) (idle []string) {
	s := newPlatform()
	s.grace = stopsGrace
	s.startHosts(hosts)
	s.configure(2, longRoute+onlyRoute(2), `"k1"`)
	for i := range s.hosts {
		Eventually(func() bool { return s.has(i, 2) }).Should(BeTrue())
	}
	prepare(s)
	var stopped time.Time
	answers := s.streamsOf(1, 6, parameters, func() {
		time.Sleep(200 * time.Millisecond)
		stopped = time.Now()
		s.hosts[1].signal(syscall.SIGTERM)
		meanwhile(s)
	})
	Expect(s.hosts[1].wait()).To(Succeed())
	seen := s.record()
	lastPart := stopped.Add(stopsGrace - lastSixth)
	for _, a := range answers {
		if a.err != nil && !slices.ContainsFunc(seen.Streams[a.id], func(r streamRun) bool { return r.workedAfter(lastPart) }) {
			idle = append(idle, fmt.Sprintf("%d events, ended %v after the order to stop; at endpoints: %+v", len(a.events), a.ended.Sub(stopped), seen.Streams[a.id]))
		}
	}
	return idle
}

var _ = Describe("an endpoint that is silent as a host comes to the end of its stop", func() {
	nothing := func(*site) {}
	// silentFrom62 are the parameters of streams that are silent from 6.2 s after the order to stop until after the host's exit.
	const silentFrom62 = "events=400&gap=20&after=320&pause=4000&first=1"

	// Guards against streams that are cut at a planned stop while no endpoint is at work on them, though another one is free.
	It("has its streams go on elsewhere before the host exits", func() {
		Expect(stopBeside(2, silentFrom62, nothing, nothing)).To(BeEmpty())
	})

	// Guards against the same where the hosts share a retry budget of less than a request each.
	It("has its streams go on elsewhere though many hosts share the retry budget", func() {
		Expect(stopBeside(24, silentFrom62, nothing, nothing)).To(BeEmpty())
	})

	// Guards against streams that are ended for a silence which ends before the host's exit, and that nobody else takes.
	It("keeps streams that it goes on with in time, though others refuse them", func() {
		Expect(stopBeside(2, "events=322&gap=20&after=305&pause=900&first=1", nothing, func(s *site) {
			time.Sleep(5800 * time.Millisecond)
			for i := range 3 {
				s.control(fmt.Sprintf("/trouble?id=i-%d&pause=1", i))
			}
		})).To(BeEmpty())
	})

	// Guards against streams that are cut sooner than the host's exit asks for.
	It("has a second to go on with them if no other endpoint is left", func() {
		Expect(stopBeside(2, "events=400&gap=20&after=326&pause=1000", func(s *site) {
			s.control("/kill?id=i-1")
			s.control("/kill?id=i-2")
		}, nothing)).To(BeEmpty())
	})
})

var _ = Describe("a stream that comes late in a planned stop", func() {
	// Guards against a stream that is taken as short, by what the host has seen since its start, and cut at its end.
	It("is refused as not run if it may outlast the stop, though streams have been short", func() {
		s := newPlatform()
		s.grace = stopsGrace
		s.startHosts(2)
		s.configure(2, longRoute+onlyRoute(2), `"k1"`)
		for i := range s.hosts {
			Eventually(func() bool { return s.has(i, 2) }).Should(BeTrue())
		}
		early, late := s.newKeptCaller(1), s.newKeptCaller(1)
		short := early.streamOf("/stream/long/x?events=4&gap=10", bodyOf(0, 0), 4)
		Expect(short.isWhole(4)).To(BeTrue())
		s.hosts[1].signal(syscall.SIGTERM)
		time.Sleep(earlyInStop + 300*time.Millisecond)
		a := late.streamOf("/stream/long/x?events=100&gap=60", bodyOf(4, 20*time.Millisecond), 100)
		Expect(a.err).NotTo(HaveOccurred(), "%d events", len(a.events))
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(s.record().Runs).NotTo(HaveKey(a.id))
		Expect(s.hosts[1].wait()).To(Succeed())
	})
})
