package member

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
		i := platform.Instance{Name: fmt.Sprint("a", n), Role: platform.AgentRole, Peer: "127.0.0.1:7001", Zone: "z", State: platform.Live}
		l.Instances = append(l.Instances, i)
	}
	return l
}

// drawList returns a list of some of ten instances.
func drawList(t *rapid.T, version uint64) platform.List {
	l := platform.List{Version: version}
	for _, i := range fleet(version, 10).Instances {
		if rapid.Bool().Draw(t, "listed") {
			i.State = rapid.SampledFrom([]string{platform.Live, platform.Leaving}).Draw(t, "state")
			l.Instances = append(l.Instances, i)
		}
	}
	return l
}

// pass gives one roster what it lacks of another, and the whole list where a difference leads elsewhere.
func pass(t require.TestingT, from, to *roster) {
	content, err := from.since(to.list.Load().Version)
	require.NoError(t, err)
	if content == nil {
		return
	}
	_, err = to.apply(content)
	if errors.Is(err, errDiffers) {
		content, err = from.since(0)
		require.NoError(t, err)
		_, err = to.apply(content)
	}
	require.NoError(t, err)
}

func TestRosterProperties(t *testing.T) {
	t.Run("differences lead every peer to the newest list", func(t *testing.T) {
		testkit.Property(t, func(t *rapid.T) {
			all := []*roster{newRoster(), newRoster(), newRoster()}
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
				pass(t, one, all[rapid.IntRange(0, len(all)-1).Draw(t, "other")])
			}
			for _, from := range all {
				for _, to := range all {
					pass(t, from, to)
				}
			}
			for _, r := range all {
				assert.Equal(t, version, r.list.Load().Version)
				assert.ElementsMatch(t, lists[version].Instances, r.list.Load().Instances)
			}
		})
	})
}

func TestRoster(t *testing.T) {
	t.Run("one change costs one instance", func(t *testing.T) {
		a, b := newRoster(), newRoster()
		a.replace(*fleet(1, 500))
		pass(t, a, b)
		l := fleet(2, 500)
		l.Instances[7].State = platform.Leaving
		a.replace(*l)
		d, ok := a.difference(1)
		require.True(t, ok)
		assert.Equal(t, []platform.Instance{l.Instances[7]}, d.Instances)
		pass(t, a, b)
		assert.Equal(t, a.list.Load(), b.list.Load())
	})
	t.Run("a difference that leads elsewhere is refused", func(t *testing.T) {
		a := newRoster()
		a.replace(*fleet(1, 3))
		_, err := a.apply([]byte(`{"version":2,"since":1,"hash":5,"removed":["a1"]}`))
		assert.True(t, errors.Is(err, errDiffers))
		assert.Len(t, a.list.Load().Instances, 3)
	})
	t.Run("an instance that came and went unseen by the sender is not kept", func(t *testing.T) {
		a, b := newRoster(), newRoster()
		a.replace(*fleet(1, 3))
		pass(t, a, b)
		b.replace(*fleet(2, 4))
		a.replace(*fleet(3, 3))
		content, err := a.since(2)
		require.NoError(t, err)
		_, err = b.apply(content)
		assert.True(t, errors.Is(err, errDiffers))
		pass(t, a, b)
		assert.Equal(t, a.list.Load(), b.list.Load())
	})
	t.Run("removals beyond their bound make peers take the whole list", func(t *testing.T) {
		a := newRoster()
		a.replace(platform.List{Version: 1})
		for n := range maxRemoved + 2 {
			i := fleet(1, 1).Instances[0]
			i.Name = fmt.Sprint("x", n)
			a.replace(platform.List{Version: uint64(n + 2), Instances: []platform.Instance{i}})
		}
		assert.LessOrEqual(t, len(a.removed), maxRemoved)
		d, ok := a.difference(1)
		require.True(t, ok)
		assert.Zero(t, d.Since)
		d, ok = a.difference(a.horizon)
		require.True(t, ok)
		assert.Equal(t, a.horizon, d.Since)
	})
}

func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"version":2,"since":1,"hash":5,"instances":[{"name":"a1"}],"removed":["a1"]}`))
	f.Add([]byte(`{"version":2,"removed":null}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		r := newRoster()
		r.replace(*fleet(1, 3))
		changed, err := r.apply(content)
		if err != nil {
			assert.False(t, changed)
			assert.Equal(t, uint64(1), r.list.Load().Version)
		}
		for _, i := range r.list.Load().Instances {
			assert.NoError(t, platform.Check("instances", i))
		}
	})
}

func TestApplyRefuses(t *testing.T) {
	for name, content := range map[string]string{
		"no JSON":         `{`,
		"a bad instance":  `{"version":2,"instances":[{"name":"x"}]}`,
		"too long":        strings.Repeat(" ", platform.MaxAnswer+1),
		"too many":        `{"version":2,"instances":[` + strings.Repeat("{},", platform.MaxInstances) + `{}]}`,
		"number not ours": `{"version":"2"}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newRoster().apply([]byte(content))
			var e *platform.ValueError
			assert.True(t, errors.As(err, &e), "%v", err)
		})
	}
}
