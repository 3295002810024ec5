package site

import "github.com/dragonflyroute/dragonflyroute/transport/idle"

// fileDescriptors is the number of descriptors that are not available for connections.
const fileDescriptors = 200

// connectionShare is the part of the process's connections that a listener may have. What the listeners do not share remains
// for connections to endpoints, peers and the store.
type connectionShare struct {
	// fraction is the part of all connections, and least a number that is allowed in any case.
	fraction float64
	least    int
}

var (
	// callerShare is the share of callers' requests, each of which may need a connection to an endpoint too.
	callerShare = connectionShare{fraction: 3.0 / 8, least: 64}
	// peerShare is the share of other entry hosts.
	peerShare = connectionShare{fraction: 1.0 / 8, least: 128}
	// lookupShare is the share of address look-ups, and checkShare that of readiness checks and that of metrics.
	lookupShare = connectionShare{fraction: 1.0 / 16, least: 32}
	checkShare  = connectionShare{fraction: 1.0 / 64, least: 16}
)

// of returns the share of a number of descriptors, 0 for no limit.
func (c connectionShare) of(descriptors int) int {
	if descriptors <= 0 {
		return 0
	}
	return max(int(c.fraction*float64(descriptors-fileDescriptors)), c.least)
}

// boundConnections bounds the connections of a listener, and the heads of requests on them.
func (s *Site) boundConnections(conns *idle.Closer, share connectionShare) {
	conns.Count = s.Meter.Count
	conns.MaxOpen = func() int { return share.of(s.maxDescriptors()) }
	conns.MaxHead = s.maxHead
	conns.Relieve = func() bool { return s.Relieve != nil && s.Relieve() }
}

func (s *Site) maxDescriptors() int {
	if s.MaxDescriptors == nil {
		return 0
	}
	return s.MaxDescriptors()
}

// maxHead returns the operator's limit of a request's head in bytes, 0 for none.
func (s *Site) maxHead() int {
	cfg := s.Policy.Rules()
	if cfg == nil {
		return 0
	}
	return cfg.MaxHeaderBytes
}
