package badly

import (
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
