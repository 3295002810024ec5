package badly

import (
	_ "github.com/dragonflyroute/dragonflyroute/platform/alien"
	"errors"
	"fmt"

	"github.com/dragonflyroute/dragonflyroute/transport/front"
)

type wrong struct {
	Field string `json:"not_kebab"`
}

func do(f *front.Front) []error {
	go f.Drain()
	one := errors.New("bare")
	two := fmt.Errorf("bare")
	return []error{one, two}
}

// header is a planted wire name outside the adapters.
const header = "Dragonflyroute-Tenant"
