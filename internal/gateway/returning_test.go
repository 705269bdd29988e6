package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/internal/routing"
	"carawaypick/pkg/clock"
)

// TestOneCallerMakesOthersLookLate guards against one caller with a long deadline that makes all others of its route look as if
// they had returned with little time left.
func TestOneCallerMakesOthersLookLate(t *testing.T) {
	route := &routing.Route{Name: "r", Timeout: 8000}
	used := func(a *admission, timeout clock.Span) clock.Span {
		return a.usedTime(1000, &call{RequestHeaders: RequestHeaders{Timeout: timeout}, route: route})
	}
	for _, longest := range []clock.Span{8000, 1_000_000_000} {
		a := newAdmission()
		for range 100 {
			assert.Zero(t, used(a, 4000))
		}
		used(a, longest)
		assert.Zero(t, used(a, 4000), "ms that a caller used before, as another one waits for %d ms", longest)
	}
}
