package mirror_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/dragonflyroute/dragonflyroute/protocol/eras"
	"github.com/dragonflyroute/dragonflyroute/protocol/record"
	"github.com/dragonflyroute/dragonflyroute/state/mirror"
)

var _ = Describe("Mirror and rows without a version", func() {
	// Guards against a change that other hosts never hear of: the store's adapter qualifies the version 0 of a row that has
	// none by the era.
	It("passes on a changed row without a version in a later era", func() {
		e := eras.Era(1)
		var m mirror.Mirror
		m.Replace([]record.Record{{Key: "a", Value: []byte("1"), Version: e.Qualify(5)}}, e.Qualify(5), time.Now())
		m.Update([]record.Record{{Key: "a", Value: []byte("2"), Version: e.Qualify(0)}}, e.Qualify(6), time.Now())
		d, ok := m.ChangesSince(e.Qualify(5), time.Now())
		Expect(ok).To(BeTrue())
		Expect(d.Rows).To(HaveLen(1))
	})
})
