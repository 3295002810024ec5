package main

import (
	"math"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dragonflyroute/dragonflyroute/platform/conf"
)

const (
	// memoryLimitFraction is the Go runtime's soft memory limit as a fraction of the process's memory limit; the
	// garbage collector runs more often close to it.
	memoryLimitFraction = 0.7
	// bodyMemoryFraction is the fraction of the memory limit that request bodies may use, and defaultBodyMemory what they may
	// use when the settings have no limit, in bytes.
	bodyMemoryFraction = 0.2
	defaultBodyMemory  = 64 << 20
	// defaultAddressTTL is how long callers may cache an address answer, unless the platform's maximum is lower.
	defaultAddressTTL = 2 * time.Second
)

// settings holds the settings in force of an entry host on the users' platform. They may be replaced while it serves.
type settings struct {
	log     hclog.Logger
	current atomic.Pointer[conf.Conf]
}

func newSettings(cfg *conf.Conf, log hclog.Logger) *settings {
	s := &settings{log: log}
	s.put(cfg)
	return s
}

func (s *settings) load() *conf.Conf { return s.current.Load() }

// grace returns the grace period, from the order to stop to the kill.
func (s *settings) grace() time.Duration { return s.load().Grace }

// addressTTL returns how long callers may cache an address answer.
func (s *settings) addressTTL() time.Duration { return min(defaultAddressTTL, s.load().MaxAddressTTL) }

// maxDescriptors returns the largest number of open descriptors of the process, 0 for no limit.
func (s *settings) maxDescriptors() int { return s.load().MaxDescriptors }

// bodyMemory returns the memory that request bodies may use, in bytes.
func (s *settings) bodyMemory() int64 {
	limit := s.load().MemoryBytes
	if limit <= 0 {
		return defaultBodyMemory
	}
	return int64(bodyMemoryFraction * float64(limit))
}

// apply replaces the settings by those of a new file. Those that a running process can't change, such as its addresses,
// take effect at its next start. A BadRequest error names the invalid field.
func (s *settings) apply(data []byte) error {
	next, err := conf.Parse(data)
	if err != nil {
		return err
	}
	applied, pending := s.load().Changes(next)
	s.put(next)
	s.log.Info("settings reloaded", "applied", applied, "pending-restart", pending)
	return nil
}

func (s *settings) put(cfg *conf.Conf) {
	s.current.Store(cfg)
	limit := int64(math.MaxInt64)
	if cfg.MemoryBytes > 0 {
		limit = int64(memoryLimitFraction * float64(cfg.MemoryBytes))
	}
	debug.SetMemoryLimit(limit)
}
