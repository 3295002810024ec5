package scene_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// maxHangups is the most SIGHUPs in a series, and maxHangupPause the longest time between two of them.
	maxHangups     = 8
	maxHangupPause = 200 * time.Millisecond
	// settingsNotice is the time that a host has to apply a settings file that has changed without a signal.
	settingsNotice = 10 * time.Second
)

// reloadFaults returns the faults around changes of the settings, planned stops and the loss of all hosts.
func (k *soak) reloadFaults() []func() {
	return []func(){k.hangUpHosts, k.hangUpHosts, k.changeSettings, k.changeSettings, k.stopSeveral, k.stopSeveral, k.killAll}
}

// allHosts returns the indexes of all hosts.
func (k *soak) allHosts() []int {
	hosts := make([]int, len(k.hosts))
	for i := range hosts {
		hosts[i] = i
	}
	return hosts
}

// oneOrAll returns a random host or all hosts, whatever fault they have.
func (k *soak) oneOrAll() []int {
	if k.rand.IntN(2) == 0 {
		return []int{k.rand.IntN(len(k.hosts))}
	}
	return k.allHosts()
}

// startAll sends SIGHUP to all hosts in a series, and starts the callers with prompts.
func (k *soak) startAll() {
	k.hangUp(k.allHosts(), maxHangups)
	k.startPromptCallers()
}

// hangUpHosts sends SIGHUP to one or all hosts, once or in a series.
func (k *soak) hangUpHosts() { k.hangUp(k.oneOrAll(), 1+k.rand.IntN(maxHangups)) }

// hangUp sends a series of SIGHUPs, during which other faults start and end.
func (k *soak) hangUp(hosts []int, n int) {
	k.logFault("SIGHUP to hosts %v, %d to go", hosts, n-1)
	for _, i := range hosts {
		k.hosts[i].signal(syscall.SIGHUP)
	}
	if n == 1 {
		return
	}
	due := time.Now().Add(time.Duration(k.rand.Int64N(int64(maxHangupPause))))
	k.reverts = append(k.reverts, soakRevert{due: due, revert: func() { k.hangUp(hosts, n-1) }})
}

// readSettings records the settings that a host was started with.
func (k *soak) readSettings(i int) {
	text, err := os.ReadFile(k.hosts[i].settings)
	Expect(err).NotTo(HaveOccurred())
	k.settings = append(k.settings, string(text))
}

// writeSettings writes the latest valid settings of a host.
func (k *soak) writeSettings(i int) {
	Expect(os.WriteFile(k.hosts[i].settings, []byte(k.settings[i]), 0o600)).To(Succeed())
}

// changeSettings writes settings that are valid or not, with or without a SIGHUP.
func (k *soak) changeSettings() {
	hosts := k.oneOrAll()
	for _, i := range hosts {
		if k.rand.IntN(3) == 0 {
			k.spoilSettings(i)
			continue
		}
		k.randomSettings(i)
		k.replaceSettings(i)
	}
	if k.rand.IntN(2) == 0 {
		k.hangUp(hosts, 1+k.rand.IntN(maxHangups))
	}
}

// randomSettings changes some of a host's settings, of which some bind a running process and some the next one.
func (k *soak) randomSettings(i int) {
	set := func(name string, value int) {
		k.settings[i] = regexp.MustCompile(`"`+name+`":\d+`).ReplaceAllString(k.settings[i], fmt.Sprintf("%q:%d", name, value))
	}
	set("graceS", 2+k.rand.IntN(3))
	set("memoryMb", 150+k.rand.IntN(100))
	set("ttl_max_s", 1+k.rand.IntN(5))
	set("maxFds", 900+k.rand.IntN(200))
	k.logFault("settings of host %d: %s", i, regexp.MustCompile(`"(graceS|memoryMb)":\d+`).FindAllString(k.settings[i], -1))
}

// replaceSettings writes a host's settings in place, or as a new file that takes the name of the old one.
func (k *soak) replaceSettings(i int) {
	if k.rand.IntN(2) == 0 {
		k.writeSettings(i)
		return
	}
	file := k.hosts[i].settings
	Expect(os.WriteFile(file+".new", []byte(k.settings[i]), 0o600)).To(Succeed())
	Expect(os.Rename(file+".new", file)).To(Succeed())
}

// spoilSettings leaves a host without valid settings; a running process must keep its previous ones.
func (k *soak) spoilSettings(i int) {
	text := k.settings[i]
	invalid := []string{"", "{}", "not JSON", text[:k.rand.IntN(len(text))], strings.Replace(text, `"front"`, `"unknown"`, 1)}
	n := k.rand.IntN(len(invalid) + 1)
	k.logFault("settings of host %d are invalid: kind %d", i, n)
	if n == len(invalid) {
		Expect(os.Remove(k.hosts[i].settings)).To(Or(Succeed(), MatchError(os.ErrNotExist)))
		return
	}
	Expect(os.WriteFile(k.hosts[i].settings, []byte(invalid[n]), 0o600)).To(Succeed())
}

// stopSeveral sends SIGTERM to several hosts, up to all but one, and SIGHUP to them before and after it.
func (k *soak) stopSeveral() {
	hosts := k.rand.Perm(len(k.hosts))[1:]
	if len(hosts) > 1 && k.rand.IntN(2) == 0 {
		hosts = hosts[:1+k.rand.IntN(len(hosts))]
	}
	if k.rand.IntN(2) == 0 {
		k.hangUp(hosts, 1)
	}
	for _, i := range hosts {
		if k.markStopped(i) {
			k.terminate(i)
		}
	}
	if k.rand.IntN(2) == 0 {
		k.hangUp(hosts, 1+k.rand.IntN(maxHangups))
	}
}

// killAll kills all hosts at once, also those that are suspended or shut down.
func (k *soak) killAll() {
	for _, i := range k.allHosts() {
		fresh := k.markStopped(i)
		k.kill(i)
		if fresh {
			k.revertLater(func() { k.restartHost(i) })
		}
	}
}

// checkSettings checks that every host applies a changed settings file that no signal announces.
func (k *soak) checkSettings() {
	for i, h := range k.hosts {
		reloaded := func() int { return strings.Count(h.output(), `"settings reloaded"`) }
		before := reloaded()
		k.settings[i] = strings.Replace(k.settings[i], `"graceS":`, `"graceS": `, 1)
		k.writeSettings(i)
		Eventually(reloaded).WithTimeout(settingsNotice).Should(BeNumerically(">", before), "host %d", i)
	}
}

var _ = Describe("the soak's checker of stops and reloads", func() {
	cutAnswer := func(c *checker) {
		c.requestSent("a", true, 0)
		c.answerReceived(&soakAnswer{id: "a", err: os.ErrClosed, sent: time.Now(), ended: time.Now()})
	}

	It("finds a process that ends by itself, and requests that are cut while a host gets signals only", func() {
		k := newSoak(soakCase{seed: 1, hosts: 1})
		k.hangUp([]int{0}, 1)
		cutAnswer(k.checker)
		k.hosts[0].signal(os.Kill)
		Eventually(func() []string {
			k.checkProcesses()
			return k.checker.violations
		}).Should(ConsistOf(ContainSubstring("without a fault"), ContainSubstring("ended by itself")))
	})

	It("finds requests that endpoints had when their host was told to stop", func() {
		c := newChecker()
		c.addHost()
		c.hostStops(0)
		cutAnswer(c)
		c.checkCut(siteRecord{})
		Expect(c.violations).To(BeEmpty())
		c.checkCut(siteRecord{Runs: map[string]int{"a": 1}})
		Expect(c.violations).To(ConsistOf(ContainSubstring("told to stop: true")))
	})
})
