package platform

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/ticket"
)

// validEntry returns a valid instance with the role entry.
func validEntry(name string) Instance {
	return Instance{
		Name: name, Role: EntryRole, Peer: "127.0.0.1:7001", Caller: "127.0.0.1:8001",
		Zone: "lima-a", Region: "lima", State: StateLive,
	}
}

func encodeList(t *testing.T, l List) []byte {
	t.Helper()
	content, err := json.Marshal(l)
	require.NoError(t, err)
	return content
}

// assertValueError asserts that err is a ValueError for the field.
func assertValueError(t *testing.T, err error, field string) {
	t.Helper()
	var e *ValueError
	if assert.True(t, errors.As(err, &e), "%v", err) {
		assert.Equal(t, field, e.Field)
	}
}

func TestDecodeList(t *testing.T) {
	t.Run("valid list", func(t *testing.T) {
		l := List{Version: 4, Instances: []Instance{validEntry("e1"), validEntry("e2")}}
		read, invalid, err := DecodeList(encodeList(t, l))
		require.NoError(t, err)
		assert.Empty(t, invalid)
		assert.Equal(t, l, read)
	})
	for field, corrupt := range map[string]func(*Instance){
		"instances[1].role":   func(i *Instance) { i.Role = "cook" },
		"instances[1].state":  func(i *Instance) { i.State = "" },
		"instances[1].peer":   func(i *Instance) { i.Peer = "localhost:1" },
		"instances[1].caller": func(i *Instance) { i.Caller = "127.0.0.1" },
		"instances[1].name":   func(i *Instance) { i.Name = "e1" },
		"instances[1].zone":   func(i *Instance) { i.Zone = strings.Repeat("z", maxNameBytes+1) },
		"instances[1]":        func(i *Instance) { i.Zone = "" },
	} {
		t.Run("skips an instance with an invalid "+field, func(t *testing.T) {
			i := validEntry("e2")
			corrupt(&i)
			read, invalid, err := DecodeList(encodeList(t, List{Version: 1, Instances: []Instance{validEntry("e1"), i, validEntry("e3")}}))
			require.NoError(t, err)
			require.Len(t, invalid, 1)
			assertValueError(t, invalid[0], field)
			assert.Equal(t, []Instance{validEntry("e1"), validEntry("e3")}, read.Instances)
		})
	}
	for name, content := range map[string]string{
		"no JSON":  `{"version":`,
		"too long": strings.Repeat(" ", MaxResponseBytes+1),
		"too many": `{"instances":[` + strings.Repeat("0,", MaxInstances) + `0]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := DecodeList([]byte(content))
			assertValueError(t, err, "instances")
		})
	}
}

func TestDecodeTickets(t *testing.T) {
	t.Run("returns each content unchanged", func(t *testing.T) {
		tickets, err := DecodeTickets([]byte(`{"tickets":[{"number":2},{"number":"x"},3]}`))
		require.NoError(t, err)
		assert.Equal(t, [][]byte{[]byte(`{"number":2}`), []byte(`{"number":"x"}`), []byte(`3`)}, tickets)
	})
	for name, content := range map[string]string{
		"no JSON":  `[`,
		"too long": strings.Repeat(" ", MaxResponseBytes+1),
		"too many": `{"tickets":[` + strings.Repeat("0,", maxTickets) + `0]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeTickets([]byte(content))
			assertValueError(t, err, "tickets")
		})
	}
}

func FuzzDecodeList(f *testing.F) {
	f.Add([]byte(`{"version":1,"instances":[{"name":"e1","role":"agent","peer":"127.0.0.1:1","zone":"a","state":"live"}]}`))
	f.Add([]byte(`{"instances":[null,{"name":3}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		l, invalid, err := DecodeList(content)
		if err != nil {
			return
		}
		again, more, err := DecodeList(encodeList(t, l))
		require.NoError(t, err)
		assert.Empty(t, more)
		assert.Equal(t, l, again)
		assert.LessOrEqual(t, len(l.Instances)+len(invalid), MaxInstances)
	})
}

func FuzzDecodeTickets(f *testing.F) {
	f.Add([]byte(`{"tickets":[{"number":1,"author":"ana","objects":{}}]}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		tickets, err := DecodeTickets(content)
		if err != nil {
			return
		}
		store := ticket.NewStore(0, 0)
		for _, c := range tickets {
			if _, err := store.Add(0, c, 0); err != nil {
				var e *ticket.InvalidError
				assert.True(t, errors.As(err, &e), "%v", err)
			}
		}
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	f.Add([]byte(`{"number":3,"objects":{"zones":{"lima-a":{"state":"out"}}}}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		read, err := DecodeSnapshot(content)
		if err != nil {
			return
		}
		s, err := ticket.DecodeSnapshot(read)
		require.NoError(t, err)
		again, err := s.Snapshot()
		require.NoError(t, err)
		same, err := ticket.DecodeSnapshot(again)
		require.NoError(t, err)
		assert.Equal(t, s.Hash, same.Hash)
	})
}
