package task_test

import (
	"encoding/json"
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/task"
	"github.com/dragonflyroute/dragonflyroute/protocol/work"
)

func TestTask(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "task")
}

var _ = Describe("A task", func() {
	It("says of a prompt what the request says", func() {
		w := &work.Request{Backend: "plume", Priority: 1, PromptTokens: 300, OutTokens: 20}
		w.AddPart(math.MaxUint64, 100)
		w.AddPart(2, 200)
		sent := task.Task{Backend: "plume", Priority: 1}
		sent.SetPrompt(w)
		data, err := json.Marshal(sent)
		Expect(err).NotTo(HaveOccurred())
		var got task.Task
		Expect(json.Unmarshal(data, &got)).To(Succeed())
		Expect(got.Request()).To(Equal(w))
	})

	// Guards against callers whose prompts of thousands of parts fill the memory and time of the host that places requests.
	It("is small however many parts a prompt has", func() {
		w := &work.Request{PromptTokens: 1 << 20}
		for i := range 16_000 {
			w.AddPart(math.MaxUint64-uint64(i), 64)
		}
		var t task.Task
		t.SetPrompt(w)
		data, err := json.Marshal(t)
		Expect(err).NotTo(HaveOccurred())
		Expect(len(data)).To(BeNumerically("<", 8<<10))
		Expect(t.Request().Parts).To(Equal(w.Parts[:len(t.Parts)]))
	})

	It("with fewer lengths than parts has the parts with a length only", func() {
		t := task.Task{Parts: []uint64{1, 2}, Lengths: []int64{5}}
		Expect(t.Request().Parts).To(HaveLen(1))
	})
})
