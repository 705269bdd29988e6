package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/store"
)

func newConfig(routes ...Route) *Config {
	c := &Config{Routes: routes}
	c.BuildIndex()
	return c
}

func TestMatch(t *testing.T) {
	config := newConfig(
		Route{Name: "all", Host: "a.example", PathPrefix: "/"},
		Route{Name: "deep", Host: "a.example", PathPrefix: "/x/y/"},
		Route{Name: "shallow", Host: "a.example", PathPrefix: "/x/"},
		Route{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	)
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/z": "shallow", "/x": "all", "/x%2fy/": "all"} {
		t.Run(path, func(t *testing.T) {
			got := config.Match("A.example:80", path)
			require.NotNil(t, got)
			assert.Equal(t, want, got.Name)
		})
	}
	t.Run("no route", func(t *testing.T) {
		assert.Nil(t, config.Match("b.example", "/y/"))
		assert.Nil(t, config.Match("c.example", "/x/"))
	})
}

func TestChooseService(t *testing.T) {
	t.Run("without a split", func(t *testing.T) {
		assert.Equal(t, "s", (&Route{Service: "s"}).ChooseService(0.9))
	})
	t.Run("split by weight", func(t *testing.T) {
		r := &Route{Service: "s", Split: []WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 3}}}
		assert.Equal(t, "a", r.ChooseService(0.24))
		assert.Equal(t, "b", r.ChooseService(0.26))
		assert.Equal(t, "b", r.ChooseService(0.9999))
	})
	t.Run("zero weights", func(t *testing.T) {
		assert.Equal(t, "s", (&Route{Service: "s", Split: []WeightedService{{Service: "a"}}}).ChooseService(0.5))
	})
}

func ids(servers []*Server) (all []string) {
	for _, s := range servers {
		all = append(all, s.ID)
	}
	return all
}

func TestIndexServers(t *testing.T) {
	v := &View{
		Servers: map[string]*Server{
			"a": {ID: "a", Service: "s", Address: "1", Zone: "z", StartedAt: 1},
			"b": {ID: "b", Service: "s", Address: "1", Zone: "z", StartedAt: 2},
			"c": {ID: "c", Service: "s", Address: "2", Zone: "out"},
			"d": {ID: "d", Service: "s", Address: "3", Zone: "z", Draining: true},
			"e": {ID: "e", Service: "s", Address: "4", Zone: "z", ExpiresAt: 50},
			"f": {ID: "f", Service: "other", Address: "5", Zone: "z"},
			"g": {ID: "g", Service: "s", Address: "5", Zone: "z", Position: store.At(0, 9)},
		},
		EvacuatedZones: map[string]bool{"out": true},
	}
	t.Run("only the newest incarnation at an address, and no unusable server, is listed", func(t *testing.T) {
		v.IndexServers(49)
		assert.Equal(t, []string{"b", "e", "g"}, ids(v.Services["s"]))
		assert.Equal(t, []string{"f"}, ids(v.Services["other"]), "a registration says nothing about one of another service")
	})
	t.Run("only the service that answers at an address is listed", func(t *testing.T) {
		v.Owners = NewOwners(100)
		v.Owners.Prove("5", "g", 40)
		v.IndexServers(49)
		assert.Equal(t, []string{"b", "e", "g"}, ids(v.Services["s"]))
		assert.Empty(t, v.Services["other"])
	})
	t.Run("a registration expires", func(t *testing.T) {
		v.IndexServers(50)
		assert.Equal(t, []string{"b", "g"}, ids(v.Services["s"]))
	})
}

// TestServerWithClockBehindIsNeverUsed guards against a backend server that started with its clock behind that of the one
// before it at its address, and is still not used once that one is gone.
func TestServerWithClockBehindIsNeverUsed(t *testing.T) {
	v := &View{Servers: map[string]*Server{
		"a": {ID: "a", Service: "s", Address: "1", StartedAt: 100, Position: store.At(1, 8)},
		"b": {ID: "b", Service: "s", Address: "1", StartedAt: 50, Position: store.At(1, 9)},
	}}
	v.IndexServers(1)
	assert.Equal(t, []string{"a"}, ids(v.Services["s"]), "until it is proved replaced")
	delete(v.Servers, "a")
	v.IndexServers(1)
	assert.Equal(t, []string{"b"}, ids(v.Services["s"]))
}
