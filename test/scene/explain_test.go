package scene_test

import (
	"encoding/json"
	"os/exec"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/avail"
	"github.com/dragonflyroute/dragonflyroute/protocol/dryrun"
	"github.com/dragonflyroute/dragonflyroute/protocol/method"
)

// explain runs the command with some arguments at a host, and returns its output and its exit code.
func (s *site) explain(host int, args ...string) (output string, code int) {
	cmd := exec.Command(filepath.Join(binDir, "dragonflyroute"), append([]string{"explain", "--at", s.hosts[host].metrics}, args...)...)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

var _ = Describe("explain", func() {
	It("tells where a request would go and why, sends nothing, and rejects what describes no request", func() {
		s := newSite(2)
		before := len(s.record().Arrivals)
		out, code := s.explain(0, "--route", "open", "--json")
		Expect(code).To(BeZero(), out)
		var plain []dryrun.Result
		Expect(json.Unmarshal([]byte(out), &plain)).To(Succeed())
		Expect(plain).To(HaveLen(1))
		Expect(plain[0].Method).To(Equal(method.Random))
		Expect(plain[0].Endpoint).NotTo(BeEmpty())

		out, code = s.explain(1, "--route", "stream", "--account", "mutual", "--out", "50", "--parts", "7:600,9:400", "--json")
		Expect(code).To(BeZero(), out)
		var prompt []dryrun.Result
		Expect(json.Unmarshal([]byte(out), &prompt)).To(Succeed())
		Expect(prompt[0].Method).To(Equal(method.Sample))
		Expect(prompt[0].Options).To(HaveLen(len(plain[0].Options)))
		for _, o := range prompt[0].Options {
			Expect(o.State).To(Equal(avail.Available))
		}
		out, code = s.explain(1, "--route", "stream", "--tokens", "1000")
		Expect(code).To(BeZero(), out)
		Expect(out).To(And(ContainSubstring("back end plume, 100 %"), ContainSubstring("goes to "), ContainSubstring("COST-MS")))

		for _, c := range []struct{ field, flag, value string }{
			{"route", "--route", "none"},
			{"account", "--account", "none"},
			{"tokens", "--tokens", "-1"},
			{"out", "--out", "9999999999"},
			{"parts", "--parts", "xyz:1"},
			{"parts", "--parts", "7:-1"},
		} {
			out, code := s.explain(0, "--route", "open", c.flag+"="+c.value)
			Expect(code).To(Equal(2), out)
			Expect(out).To(ContainSubstring(c.field))
		}
		Expect(s.record().Arrivals).To(HaveLen(before))
	})
})
