package operator

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// FuzzReply checks that any response of a process can be evaluated and written as a table.
func FuzzReply(f *testing.F) {
	f.Add([]byte(`{"status":{"name":"e1","number":4,"missing":{"number":5,"held":3}}}`))
	f.Add([]byte(`{"decisions":[{"key":"k","candidates":[{"name":"a1"}]}]}`))
	f.Add([]byte(`{"status":null}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		r := Reply{Process: Process{Name: "e1"}}
		if err := json.Unmarshal(content, &r.Response); err != nil {
			return
		}
		if r.Response.Status == nil {
			r.Error = "answer without status"
		}
		replies := []Reply{r}
		var out bytes.Buffer
		require.NoError(t, WriteStatus(&out, replies))
		assert.Contains(t, out.String(), "NAME")
		require.NoError(t, WriteDecisions(&out, Decisions(replies)))
		if r.Error != "" {
			assert.Error(t, checkReplies(1, replies))
		}
	})
}

// FuzzState checks that a snapshot is either rejected or survives encoding and decoding unchanged.
func FuzzState(f *testing.F) {
	f.Add([]byte(`{"number":0}`))
	f.Add([]byte(`{"number":4,"objects":{"zones":{"lima-a":{"state":"in"}}}}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := decodeState(content)
		if err != nil {
			return
		}
		encoded, err := s.Snapshot()
		require.NoError(t, err)
		decoded, err := decodeState(encoded)
		require.NoError(t, err)
		assert.Equal(t, s.Number, decoded.Number)
		assert.Equal(t, s.Hash, decoded.Hash)
	})
}
