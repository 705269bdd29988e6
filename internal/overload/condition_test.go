package overload

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/internal/routing"
)

// TestCoordinated guards deployments that don't call for coordinated admission against it.
func TestCoordinated(t *testing.T) {
	split := []routing.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}, {Service: "c"}}
	for _, c := range []struct {
		name   string
		routes []routing.Route
		known  int
		want   bool
	}{
		{"no configuration, few entries", nil, 64, false},
		{"no configuration, many entries", nil, 65, true},
		{"one priority", []routing.Route{{Service: "a", Priority: 1}, {Service: "a", Priority: 1}}, 36, false},
		{"services of different priorities", []routing.Route{{Service: "a"}, {Service: "b", Priority: 1}}, 36, false},
		{"a service of two priorities", []routing.Route{{Service: "a"}, {Service: "b"}, {Service: "a", Priority: 1}}, 1, true},
		{"the same through a split route", []routing.Route{{Split: split}, {Service: "b", Priority: 1}}, 1, true},
		{"a service without weight is not used", []routing.Route{{Split: split}, {Service: "c", Priority: 1}}, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, Coordinated(&routing.Config{Routes: c.routes}, c.known))
		})
	}
	assert.False(t, Coordinated(nil, 1))
}
