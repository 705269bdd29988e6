package expert

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const evenReportLine = `{"step":1,"ranks":2,"slots":1,"weight":1000,"rate":1000000,"layers":[[500,500]]}` + "\n"

const hotReportLine = `{"step":2,"ranks":2,"slots":2,"weight":1000,"rate":1000000,"layers":[[50000,900000,50000]]}` + "\n"

func TestServe(t *testing.T) {
	t.Run("answers each line", func(t *testing.T) {
		assertServed(t, evenReportLine+strings.Replace(evenReportLine, `"step":1`, `"step":2`, 1),
			`{"step":1,"stay":true}`+"\n"+`{"step":2,"stay":true}`+"\n")
	})
	t.Run("writes the next map", func(t *testing.T) {
		var out bytes.Buffer
		require.NoError(t, Serve(strings.NewReader(hotReportLine), &out))
		var a Answer
		require.NoError(t, json.Unmarshal(out.Bytes(), &a))
		assert.False(t, a.Unchanged)
		assert.Equal(t, len(Moves(RoundRobin(Shape{Ranks: 2, Slots: 2, Experts: 3, Layers: 1}), a.Map)), a.Moves)
	})
	t.Run("answers before the next line arrives", func(t *testing.T) {
		in, feed := io.Pipe()
		answers, out := io.Pipe()
		done := make(chan error, 1)
		go func() { done <- Serve(in, out) }()
		lines := json.NewDecoder(answers)
		for range 3 {
			_, err := io.WriteString(feed, evenReportLine)
			require.NoError(t, err)
			var a Answer
			require.NoError(t, lines.Decode(&a))
			assert.True(t, a.Unchanged)
		}
		require.NoError(t, feed.Close())
		require.NoError(t, <-done)
	})
}

func TestServeRejects(t *testing.T) {
	cases := []struct{ name, old, new, field string }{
		{"fewer slots than experts", `[[500,500]]`, `[[5,5,5]]`, "slots"},
		{"negative counts", `[[500,500]]`, `[[500,-1]]`, "layers[0][1]"},
		{"ragged layers", `[[500,500]]`, `[[5,5],[5]]`, "layers[1]"},
		{"a missing count", `[[500,500]]`, `[[500,null]]`, "layers[0][1]"},
		{"a fraction", `[[500,500]]`, `[[500,0.5]]`, "layers"},
		{"no layers", `[[500,500]]`, `[]`, "layers"},
		{"a changed shape", `"ranks":2`, `"ranks":3`, "ranks"},
		{"no ranks", `"ranks":2`, `"ranks":0`, "ranks"},
		{"no rate", `"rate":1000000`, `"rate":0`, "rate"},
		{"a missing weight", `"weight":1000,`, ``, "weight"},
		{"a step below zero", `"step":1`, `"step":-1`, "step"},
		{"bad JSON", `{"step"`, `{step`, "line"},
		{"a line above the length limit", `"step":1`, `"step":1` + strings.Repeat(" ", maxLineBytes), "line"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assertRejected(t, evenReportLine+strings.Replace(evenReportLine, c.old, c.new, 1), 2, c.field)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(evenReportLine))
	f.Add([]byte(hotReportLine))
	f.Add([]byte(`{"layers":[[null]]}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		r, err := decode(line)
		if err != nil {
			var bad *FieldError
			require.True(t, errors.As(err, &bad), "error %v", err)
			return
		}
		if r.Check() != nil || r.Shape().Ranks*r.Shape().Slots*r.Shape().Layers > 10_000 {
			return
		}
		assertNext(t, NewPlanner(DefaultSettings()), r)
	})
}

func assertServed(t *testing.T, in, want string) {
	var out bytes.Buffer
	require.NoError(t, Serve(strings.NewReader(in), &out))
	assert.Equal(t, want, out.String())
}

// assertRejected checks that Serve rejects the given line for the given field and answers the lines before it.
func assertRejected(t *testing.T, in string, line int, field string) {
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out)
	var bad *LineError
	require.True(t, errors.As(err, &bad), "error %v", err)
	assert.Equal(t, line, bad.Line)
	assert.Equal(t, field, bad.Field)
	assert.Equal(t, line-1, strings.Count(out.String(), "\n"))
}
