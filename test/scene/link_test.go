package scene_test

import (
	"context"
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

// linkBuffer is the read buffer of a link, in bytes.
const linkBuffer = 32 << 10

// linkFault is the fault that a link injects into its connections.
type linkFault struct {
	// delay is added before each forwarded read.
	delay time.Duration
	// stallToTarget and stallFromTarget hold back data to and from the target. No data is lost, as on a network that drops
	// packets which TCP retransmits later.
	stallToTarget, stallFromTarget bool
}

// targetPollInterval is the time between checks of whether a link's target accepts connections again.
const targetPollInterval = 20 * time.Millisecond

// link is a TCP proxy on loopback that injects network faults between two processes.
type link struct {
	address, target string
	// refuses is set if the link refuses connections while its target does; otherwise it accepts and closes them.
	refuses bool

	group errgroup.Group
	ctx   context.Context

	mu       sync.Mutex
	listener net.Listener
	fault    linkFault
	// changed is closed and replaced when the fault changes.
	changed chan struct{}
	conns   map[net.Conn]bool
}

func newLink(target string) *link { return startLink(target, false) }

// newRefusingLink returns a link that refuses connections while its target does.
func newRefusingLink(target string) *link { return startLink(target, true) }

func startLink(target string, refuses bool) *link {
	address := "127.0.0.1:0"
	if refuses {
		// The port must stay free while the link refuses connections.
		address = freeAddress()
	}
	l, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	k := &link{address: l.Addr().String(), target: target, refuses: refuses, listener: l, ctx: ctx, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	k.group.Go(k.accept)
	DeferCleanup(func() {
		stop()
		k.closeListener()
		k.reset()
		_ = k.group.Wait()
	})
	return k
}

func (k *link) accept() error {
	for k.ctx.Err() == nil {
		k.mu.Lock()
		l := k.listener
		k.mu.Unlock()
		client, err := l.Accept()
		if err != nil {
			k.listenAgain()
			continue
		}
		k.group.Go(func() error {
			k.forward(client)
			return nil
		})
	}
	return nil
}

// refuse makes the link refuse connections until its target accepts them, if it does so at all.
func (k *link) refuse() {
	if k.refuses && k.ctx.Err() == nil && !k.targetAccepts() {
		k.closeListener()
	}
}

func (k *link) closeListener() {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = k.listener.Close()
}

// listenAgain waits until the target accepts connections, then does so too.
func (k *link) listenAgain() {
	for k.ctx.Err() == nil {
		time.Sleep(targetPollInterval)
		if !k.targetAccepts() {
			continue
		}
		if l, err := net.Listen("tcp", k.address); err == nil {
			k.setListener(l)
			return
		}
	}
}

func (k *link) setListener(l net.Listener) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listener = l
	if k.ctx.Err() != nil {
		_ = l.Close()
	}
}

func (k *link) targetAccepts() bool {
	c, err := net.Dial("tcp", k.target)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// forward proxies a client connection to the target until both directions have ended.
func (k *link) forward(client net.Conn) {
	defer k.untrack(client)
	k.track(client)
	server, err := net.Dial("tcp", k.target)
	if err != nil {
		k.refuse()
		return
	}
	defer k.untrack(server)
	k.track(server)
	var both errgroup.Group
	both.Go(func() error { return k.copy(server, client, func(f linkFault) bool { return f.stallToTarget }) })
	both.Go(func() error { return k.copy(client, server, func(f linkFault) bool { return f.stallFromTarget }) })
	_ = both.Wait()
	k.refuse()
}

// copy forwards data from src to dst, and closes dst at the end of src.
func (k *link) copy(dst, src net.Conn, stalled func(linkFault) bool) error {
	buffer := make([]byte, linkBuffer)
	for {
		n, err := src.Read(buffer)
		k.waitForward(stalled)
		if n > 0 {
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
				_ = src.Close()
				return writeErr
			}
		}
		if err != nil {
			return dst.Close()
		}
	}
}

// waitForward blocks while the direction is stalled, then sleeps for the fault's delay.
func (k *link) waitForward(stalled func(linkFault) bool) {
	for k.ctx.Err() == nil {
		k.mu.Lock()
		fault, changed := k.fault, k.changed
		k.mu.Unlock()
		if !stalled(fault) {
			time.Sleep(fault.delay)
			return
		}
		select {
		case <-changed:
		case <-k.ctx.Done():
		}
	}
}

func (k *link) setFault(f linkFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	close(k.changed)
	k.changed = make(chan struct{})
}

// reset closes all connections with a TCP reset.
func (k *link) reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (k *link) track(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns[c] = true
}

func (k *link) untrack(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	_ = c.Close()
	delete(k.conns, c)
}
