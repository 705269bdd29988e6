package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/pkg/clock"
)

// contestedView returns a view in which x answers at the address 1 since time 10, and y names the same address since time 20.
func contestedView(now clock.Time) *View {
	v := &View{
		Servers: map[string]*Server{
			"x": {ID: "x", Service: "s", Address: "1", Zone: "z", Slots: 8, StartedAt: 1, SeenAt: 5},
			"y": {ID: "y", Service: "s", Address: "1", Zone: "z", Slots: 8, StartedAt: 2, SeenAt: 20},
		},
		Owners: NewOwners(5000),
	}
	v.Owners.Prove("1", "x", 10)
	v.IndexServers(now)
	return v
}

func standings(v *View, now clock.Time) map[string]Standing {
	v.IndexServers(now)
	return v.Contested
}

// TestOwners guards against a registration that decides which of several backend servers with one address is used, and against
// an answer that decides it for ever.
func TestOwners(t *testing.T) {
	t.Run("a registration that appears where another server answers waits for its next answer", func(t *testing.T) {
		v := contestedView(10 + clock.Time(trialDelay) - 1)
		assert.Equal(t, map[string]Standing{"x": Open, "y": Waiting}, v.Contested)
		assert.Equal(t, []string{"x"}, ids(v.Services["s"]))
	})
	t.Run("and is tried if there is none", func(t *testing.T) {
		v := contestedView(10 + clock.Time(trialDelay))
		assert.Equal(t, map[string]Standing{"x": Open, "y": Trial}, v.Contested)
		for _, s := range v.Services["s"] {
			assert.Equal(t, s.ID == "y", s.OnTrial)
			assert.Equal(t, s.ID == "y", s.Doubted)
		}
		assert.Equal(t, 1, v.Services["s"][1].Slots, "slots of a server on trial")
	})
	t.Run("an answer to a request sent before it appeared doesn't decide", func(t *testing.T) {
		v := contestedView(20)
		v.Owners.Prove("1", "x", 19)
		assert.Equal(t, map[string]Standing{"x": Open, "y": Trial}, standings(v, 1019))
	})
	t.Run("an answer to a request sent since then closes it", func(t *testing.T) {
		v := contestedView(1020)
		v.Owners.Prove("1", "x", 21)
		assert.True(t, v.StandingsChanged("1", 25))
		assert.True(t, v.StandingsChanged("", 25))
		assert.False(t, v.StandingsChanged("2", 25))
		assert.Equal(t, map[string]Standing{"x": Open, "y": Closed}, standings(v, 25))
		t.Run("until it is old", func(t *testing.T) {
			assert.Equal(t, map[string]Standing{"x": Open, "y": Closed}, standings(v, 5020))
			assert.Equal(t, map[string]Standing{"x": Open, "y": Trial}, standings(v, 5021))
		})
	})
	t.Run("its own answer closes the other", func(t *testing.T) {
		v := contestedView(20)
		assert.Equal(t, "x", v.Owners.Prove("1", "y", 21))
		assert.Equal(t, map[string]Standing{"x": Closed, "y": Open}, standings(v, 25))
	})
	t.Run("an answer that was overtaken decides nothing", func(t *testing.T) {
		v := contestedView(20)
		v.Owners.Prove("1", "y", 22)
		v.Owners.Prove("1", "x", 21)
		assert.Equal(t, map[string]Standing{"x": Closed, "y": Open}, standings(v, 25))
	})
	t.Run("a server that isn't registered closes both", func(t *testing.T) {
		v := contestedView(20)
		v.Owners.Prove("1", "w", 21)
		assert.Equal(t, map[string]Standing{"x": Closed, "y": Closed}, standings(v, 25))
		assert.Equal(t, map[string]Standing{"x": Open, "y": Open}, standings(v, 5021), "the answer is old")
	})
	t.Run("a single registration is closed, too", func(t *testing.T) {
		v := contestedView(20)
		delete(v.Servers, "y")
		v.Owners.Prove("1", "w", 21)
		assert.Equal(t, map[string]Standing{"x": Closed}, standings(v, 25))
		assert.Empty(t, standings(v, 5021))
	})
	t.Run("a rejection that names nobody closes one", func(t *testing.T) {
		v := contestedView(20)
		v.Owners.Deny("1", "x", 21)
		assert.Equal(t, map[string]Standing{"x": Closed, "y": Trial}, standings(v, 25))
	})
	t.Run("a registration that was rejected is closed though it appeared in the same ms", func(t *testing.T) {
		v := contestedView(20)
		v.Owners.Deny("1", "y", 20)
		assert.Equal(t, map[string]Standing{"x": Open, "y": Closed}, standings(v, 20))
	})
	t.Run("nothing is known", func(t *testing.T) {
		v := contestedView(20)
		v.Owners = nil
		assert.Equal(t, map[string]Standing{"x": Waiting, "y": Open}, standings(v, 25), "the later incarnation of one service")
		assert.Equal(t, map[string]Standing{"x": Open, "y": Open}, standings(v, 5+clock.Time(doubtTime)), "for a time, as it may get no requests")
		v.Servers["y"].Draining = true
		assert.Equal(t, map[string]Standing{"x": Open, "y": Open}, standings(v, 25), "unless it gets no requests")
		v.Servers["y"].Draining, v.Servers["y"].Service = false, "other"
		assert.Equal(t, map[string]Standing{"x": Open, "y": Open}, standings(v, 25), "and both of different services")
	})
	t.Run("the process has ended", func(t *testing.T) {
		v := contestedView(20)
		v.Owners.Prove("1", "x", 21)
		v.Owners.End("1")
		assert.Equal(t, map[string]Standing{"x": Open, "y": Closed}, standings(v, 25), "y was there while x answered")
		assert.False(t, v.Owners.Proved(v.Servers["x"], 25))
		v.Servers["w"] = &Server{ID: "w", Service: "other", Address: "1", Zone: "z", Slots: 8, StartedAt: 1, SeenAt: 30}
		assert.Equal(t, map[string]Standing{"w": Open, "x": Open, "y": Closed}, standings(v, 30), "and w was not")
	})
	t.Run("a later incarnation that was refuted doesn't close the next one", func(t *testing.T) {
		v := contestedView(20)
		v.Owners.Prove("1", "x", 21)
		delete(v.Servers, "x")
		v.Servers["w"] = &Server{ID: "w", Service: "s", Address: "1", Zone: "z", Slots: 8, StartedAt: 1, SeenAt: 30}
		assert.Equal(t, map[string]Standing{"w": Trial, "y": Closed}, standings(v, 35))
	})
	t.Run("a server in its grace doesn't close the next one", func(t *testing.T) {
		v := contestedView(20)
		v.Servers["x"].ExpiresAt = 60
		assert.Equal(t, map[string]Standing{"x": Open, "y": Trial}, standings(v, 25))
	})
	t.Run("a registration is on trial where the one before was rejected", func(t *testing.T) {
		v := contestedView(20)
		delete(v.Servers, "x")
		v.Owners = NewOwners(5000)
		v.Owners.Deny("1", "y", 21)
		assert.Equal(t, map[string]Standing{"y": Closed}, standings(v, 25))
		again := *v.Servers["y"]
		again.SeenAt = 30
		v.Servers["y"] = &again
		assert.Equal(t, map[string]Standing{"y": Trial}, standings(v, 30))
		assert.Empty(t, standings(v, 5021))
	})
	t.Run("addresses without a registration are forgotten", func(t *testing.T) {
		v := contestedView(20)
		clear(v.Servers)
		v.IndexServers(30)
		assert.Empty(t, v.Owners.byAddress)
	})
}
