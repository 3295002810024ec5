package reload_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
	"github.com/dragonflyroute/dragonflyroute/transport/reload"
)

func TestReload(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reload")
}

var _ = Describe("Reloader", func() {
	var (
		path    string
		signals chan os.Signal
		applied chan string
	)

	write := func(text string) { Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }

	BeforeEach(func() {
		path = filepath.Join(GinkgoT().TempDir(), "settings.json")
		signals, applied = make(chan os.Signal, 1), make(chan string, 8)
		write("first")
		r := &reload.Reloader{Path: path, Data: []byte("first"), Signals: signals, Log: hclog.NewNullLogger(), Apply: func(data []byte) error {
			applied <- string(data)
			if string(data) == "invalid" {
				return fault.New(kind.BadRequest, "node", "is missing")
			}
			return nil
		}}
		ctx, stop := context.WithCancel(context.Background())
		var g errgroup.Group
		g.Go(func() error { return r.Run(ctx) })
		DeferCleanup(func() {
			stop()
			Expect(g.Wait()).To(Succeed())
		})
	})

	It("applies a changed file on a signal, and an unchanged one not again", func() {
		signals <- syscall.SIGHUP
		Consistently(applied, "100ms").ShouldNot(Receive())
		write("second")
		signals <- syscall.SIGHUP
		Eventually(applied).Should(Receive(Equal("second")))
		signals <- syscall.SIGHUP
		Consistently(applied, "100ms").ShouldNot(Receive())
	})

	It("applies a file that changes without a signal", func() {
		write("second, longer")
		Eventually(applied, "8s").Should(Receive(Equal("second, longer")))
	})

	// Guards against a change between the start of the process, which reads the file, and that of its watch.
	It("applies a file that has changed before the first check", func() {
		late := &reload.Reloader{Path: path, Data: []byte("older"), Signals: signals, Log: hclog.NewNullLogger(), Apply: func(data []byte) error {
			applied <- string(data)
			return nil
		}}
		ctx, stop := context.WithCancel(context.Background())
		var g errgroup.Group
		g.Go(func() error { return late.Run(ctx) })
		Eventually(applied, "8s").Should(Receive(Equal("first")))
		stop()
		Expect(g.Wait()).To(Succeed())
	})

	It("keeps running when the file is invalid or missing, and applies the next valid one", func() {
		write("invalid")
		signals <- syscall.SIGHUP
		Eventually(applied).Should(Receive(Equal("invalid")))
		Expect(os.Remove(path)).To(Succeed())
		signals <- syscall.SIGHUP
		Consistently(applied, "100ms").ShouldNot(Receive())
		write("third")
		signals <- syscall.SIGHUP
		Eventually(applied).Should(Receive(Equal("third")))
	})
})
