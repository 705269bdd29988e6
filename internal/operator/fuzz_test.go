package operator

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// FuzzReply holds that whatever a process answers can be judged and shown.
func FuzzReply(f *testing.F) {
	f.Add([]byte(`{"status":{"name":"e1","number":4,"missing":{"number":5,"held":3}}}`))
	f.Add([]byte(`{"decisions":[{"key":"k","candidates":[{"name":"a1"}]}]}`))
	f.Add([]byte(`{"status":null}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		r := Reply{Process: Process{Name: "e1"}}
		if err := json.Unmarshal(content, &r.Answer); err != nil {
			return
		}
		if r.Answer.Status == nil {
			r.Fault = "answer without status"
		}
		replies := []Reply{r}
		var out bytes.Buffer
		require.NoError(t, WriteStatus(&out, replies))
		assert.Contains(t, out.String(), "NAME")
		require.NoError(t, WriteDecisions(&out, Decisions(replies)))
		if r.Fault != "" {
			assert.Error(t, inForce(1, replies))
		}
	})
}

// FuzzState holds that a snapshot is refused, or folded into a state that stays the same when passed on.
func FuzzState(f *testing.F) {
	f.Add([]byte(`{"number":0}`))
	f.Add([]byte(`{"number":4,"objects":{"zones":{"lima-a":{"state":"in"}}}}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := decodeState(content)
		if err != nil {
			return
		}
		again, err := s.Snapshot()
		require.NoError(t, err)
		same, err := decodeState(again)
		require.NoError(t, err)
		assert.Equal(t, s.Number, same.Number)
		assert.Equal(t, s.Hash, same.Hash)
	})
}
