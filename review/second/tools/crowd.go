package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimitMB is the limit in the hosts' settings: the platform kills a process that exceeds it.
	memoryLimitMB = 284
	// crowdPerHost is the number of connections of a crowd to each host, each with one request at a time.
	crowdPerHost = 100
	// partsBytes is the size of the list of prompt parts: the whole head stays within the operator's maxHeaderBytes.
	partsBytes = 15_000
	// partIDs is the number of different parts that the crowd's prompts have.
	partIDs = 1 << 24
	// crowdTime is how long the crowd stays, and restartTime the time until a killed process is started again.
	crowdTime   = 100 * time.Second
	restartTime = 500 * time.Millisecond
	// crowdPause is the pause of a member whose request found no host, and crowdRequests bounds the requests of one member.
	crowdPause    = 200 * time.Millisecond
	crowdRequests = 1000
	// mayLose is the number of requests that the rule LOST lets pass.
	mayLose = 3
)

// residentMB returns a process's resident memory in MB, 0 if it has ended.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb >> 10
		}
	}
	return 0
}

// manyParts returns a request whose prompt has as many short parts as the operator's limit of a head allows.
func manyParts() requestKind {
	k := adviserAnswer
	k.path += "many"
	var parts strings.Builder
	for parts.Len() < partsBytes {
		fmt.Fprintf(&parts, "%x:1,", rand.IntN(partIDs))
	}
	k.body = "q"
	k.header = map[string]string{"Dragonflyroute-Model": "m", "Dragonflyroute-Token-Usage": "2368,24", "Dragonflyroute-Prompt-Prefix": parts.String() + "1:1"}
	return k
}

// watchMemory plays the platform: it kills the host's process when that exceeds its memory, and starts it again. It returns how often.
func (s *scene) watchMemory(ctx context.Context, h *hostProcess) (ends int) {
	most := 0
	for told := time.Now(); wait(ctx, 20*time.Millisecond); {
		select {
		case <-h.done:
			ends++
			s.rec.say("host %s ended by itself, time %d", h.name, ends)
		default:
			now := residentMB(h.cmd.Process.Pid)
			most = max(most, now)
			if time.Since(told) > 10*time.Second {
				told = time.Now()
				s.rec.say("host %s uses %d MB, at most %d MB so far", h.name, now, most)
			}
			if now <= memoryLimitMB {
				continue
			}
			ends++
			s.rec.say("host %s uses %d MB of %d MB: the platform kills it, time %d", h.name, now, memoryLimitMB, ends)
			h.kill()
		}
		if !wait(ctx, restartTime) {
			return ends
		}
		if err := h.start(s.root); err != nil {
			s.rec.say("host %s could not be started again: %v", h.name, err)
			return ends
		}
	}
	return ends
}

// manyPartsCrowd plays callers whose requests are legal in size but have prompts of very many short parts.
func manyPartsCrowd(ctx context.Context, s *scene) error {
	ctx, cancel := context.WithTimeout(ctx, crowdTime)
	defer cancel()
	if err := s.start(ctx, lmService, 3, adviserAnswer); err != nil {
		return err
	}
	ordinary := adviserAnswer.path
	began := time.Now()
	var members sync.WaitGroup
	if s.trouble {
		for _, h := range s.hosts {
			for range crowdPerHost {
				members.Go(func() {
					for n := 0; n < crowdRequests && ctx.Err() == nil; n++ {
						if o := s.clients.send(h.front, manyParts()); o.err != nil {
							wait(ctx, crowdPause)
						}
					}
				})
			}
		}
	}
	ends := make([]int, len(s.hosts))
	var watches sync.WaitGroup
	for i, h := range s.hosts {
		watches.Go(func() { ends[i] = s.watchMemory(ctx, h) })
	}
	watches.Wait()
	members.Wait()
	s.clients.running.Wait()
	s.rec.say("answers: %v", s.clients.summary(began, time.Now()))
	for i, h := range s.hosts {
		s.rec.say("processes of host %s ended %d times", h.name, ends[i])
	}
	return s.keptLost(ordinary)
}

// keptLost checks the rule LOST at any time, for ordinary callers: requests on kept channels that were passed on to a server, and
// whose channel was closed without an answer.
func (s *scene) keptLost(ordinary string) error {
	ran := map[string]bool{}
	s.mu.Lock()
	for _, r := range s.runs {
		ran[r.id] = true
	}
	s.mu.Unlock()
	lost := 0
	for _, o := range s.clients.outcomes {
		if o.path == ordinary && o.kept && o.status == 0 && !o.left && o.err != nil && ran[o.id] {
			lost++
			s.rec.line("LOST: request %s on a kept channel had been passed on: %v", o.id, o.err)
		}
	}
	s.rec.say("LOST: %d requests of ordinary callers on kept channels were passed on and got no answer as the channel closed; %d are allowed", lost, mayLose)
	if lost > mayLose {
		return fmt.Errorf("LOST: %w", errBroken)
	}
	return nil
}
