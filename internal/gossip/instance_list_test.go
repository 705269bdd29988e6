package gossip

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/platform"
	"carawaypick/internal/testkit"
)

// fleet returns a list of live agents.
func fleet(version uint64, count int) *platform.List {
	l := &platform.List{Version: version}
	for n := range count {
		i := platform.Instance{Name: fmt.Sprint("a", n), Role: platform.AgentRole, Peer: "127.0.0.1:7001", Zone: "z", State: platform.StateLive}
		l.Instances = append(l.Instances, i)
	}
	return l
}

// drawList returns a random subset of ten instances with random states.
func drawList(t *rapid.T, version uint64) platform.List {
	l := platform.List{Version: version}
	for _, i := range fleet(version, 10).Instances {
		if rapid.Bool().Draw(t, "listed") {
			i.State = rapid.SampledFrom([]string{platform.StateLive, platform.StateLeaving}).Draw(t, "state")
			l.Instances = append(l.Instances, i)
		}
	}
	return l
}

// transfer applies the changes of one list to another, or the full list if the difference does not match.
func transfer(t require.TestingT, from, to *instanceList) {
	content, err := from.encodeSince(to.current.Load().Version)
	require.NoError(t, err)
	if content == nil {
		return
	}
	_, err = to.apply(content)
	if errors.Is(err, errListMismatch) {
		content, err = from.encodeSince(0)
		require.NoError(t, err)
		_, err = to.apply(content)
	}
	require.NoError(t, err)
}

func TestInstanceListProperties(t *testing.T) {
	t.Run("differences bring every peer to the newest list", func(t *testing.T) {
		testkit.Property(t, func(t *rapid.T) {
			all := []*instanceList{newInstanceList(), newInstanceList(), newInstanceList()}
			lists := make(map[uint64]platform.List)
			version := uint64(0)
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				one := all[rapid.IntRange(0, len(all)-1).Draw(t, "one")]
				if rapid.Bool().Draw(t, "read") {
					version++
					lists[version] = drawList(t, version)
					one.replace(lists[version])
					continue
				}
				transfer(t, one, all[rapid.IntRange(0, len(all)-1).Draw(t, "other")])
			}
			for _, from := range all {
				for _, to := range all {
					transfer(t, from, to)
				}
			}
			for _, r := range all {
				assert.Equal(t, version, r.current.Load().Version)
				assert.ElementsMatch(t, lists[version].Instances, r.current.Load().Instances)
			}
		})
	})
}

func TestInstanceList(t *testing.T) {
	t.Run("one change sends one instance", func(t *testing.T) {
		a, b := newInstanceList(), newInstanceList()
		a.replace(*fleet(1, 500))
		transfer(t, a, b)
		l := fleet(2, 500)
		l.Instances[7].State = platform.StateLeaving
		a.replace(*l)
		d, ok := a.difference(1)
		require.True(t, ok)
		assert.Equal(t, []platform.Instance{l.Instances[7]}, d.Instances)
		transfer(t, a, b)
		assert.Equal(t, a.current.Load(), b.current.Load())
	})
	t.Run("a difference with a wrong hash is rejected", func(t *testing.T) {
		a := newInstanceList()
		a.replace(*fleet(1, 3))
		_, err := a.apply([]byte(`{"version":2,"since":1,"hash":5,"removed":["a1"]}`))
		assert.True(t, errors.Is(err, errListMismatch))
		assert.Len(t, a.current.Load().Instances, 3)
	})
	t.Run("an instance added and removed without the sender's knowledge is dropped", func(t *testing.T) {
		a, b := newInstanceList(), newInstanceList()
		a.replace(*fleet(1, 3))
		transfer(t, a, b)
		b.replace(*fleet(2, 4))
		a.replace(*fleet(3, 3))
		content, err := a.encodeSince(2)
		require.NoError(t, err)
		_, err = b.apply(content)
		assert.True(t, errors.Is(err, errListMismatch))
		transfer(t, a, b)
		assert.Equal(t, a.current.Load(), b.current.Load())
	})
	t.Run("removals beyond maxRemoved make peers fetch the full list", func(t *testing.T) {
		a := newInstanceList()
		a.replace(platform.List{Version: 1})
		for n := range maxRemoved + 2 {
			i := fleet(1, 1).Instances[0]
			i.Name = fmt.Sprint("x", n)
			a.replace(platform.List{Version: uint64(n + 2), Instances: []platform.Instance{i}})
		}
		assert.LessOrEqual(t, len(a.removedAt), maxRemoved)
		d, ok := a.difference(1)
		require.True(t, ok)
		assert.Zero(t, d.Since)
		d, ok = a.difference(a.oldestSince)
		require.True(t, ok)
		assert.Equal(t, a.oldestSince, d.Since)
	})
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"version":2,"since":1,"hash":5,"instances":[{"name":"a1"}],"removed":["a1"]}`))
	f.Add([]byte(`{"version":2,"removed":null}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		r := newInstanceList()
		r.replace(*fleet(1, 3))
		changed, err := r.apply(content)
		if err != nil {
			assert.False(t, changed)
			assert.Equal(t, uint64(1), r.current.Load().Version)
		}
		for _, i := range r.current.Load().Instances {
			assert.NoError(t, platform.ValidateInstance("instances", i))
		}
	})
}

func TestApplyRejectsInvalidInput(t *testing.T) {
	for name, content := range map[string]string{
		"invalid JSON":        `{`,
		"an invalid instance": `{"version":2,"instances":[{"name":"x"}]}`,
		"too long":            strings.Repeat(" ", platform.MaxResponseBytes+1),
		"too many instances":  `{"version":2,"instances":[` + strings.Repeat("{},", platform.MaxInstances) + `{}]}`,
		"version as a string": `{"version":"2"}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newInstanceList().apply([]byte(content))
			var e *platform.ValueError
			assert.True(t, errors.As(err, &e), "%v", err)
		})
	}
}
