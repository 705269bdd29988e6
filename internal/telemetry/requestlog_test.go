package telemetry

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const sampleLog = `-3.1 front-1 {"msg":"backend server","name":"front-1","server":"a","revision":5,"ts":"2026-01-01T00:00:01Z"}
{"msg":"backend server","name":"front-2","server":"a","revision":5,"ts":"2026-01-01T00:01:01Z"}
{"msg":"evacuation","name":"front-2","zone":"z1","revision":6,"ts":"2026-01-01T00:01:02.200Z"}
{"msg":"evacuation","name":"front-1","zone":"z1","revision":6,"ts":"2026-01-01T00:00:02.400Z"}
no log line
{"msg":"attempt failed","name":"front-1","id":"k","server":"a","reason":"dial","version":1814173151113216,"ts":"2026-01-01T00:00:02.300Z"}
{"msg":"load","name":"front-1","service":"s","limit":4,"ts":"2026-01-01T00:00:02.350Z"}
{"msg":"load","name":"front-2","service":"s","limit":4,"ts":"2026-01-01T00:00:02.350Z"}
{"msg":"request","name":"front-1","id":"k","service":"s","outcome":"refused","took":200,"ts":"2026-01-01T00:00:02.500Z"}
{"msg":"request","name":"front-1","id":"other","service":"s","outcome":"whole","ts":"2026-01-01T00:00:02.500Z"}
{"msg":"started","name":"front-1","ts":"2025-01-01T00:00:02.500Z"}
`

func TestRequestLog(t *testing.T) {
	lines, unparsed, err := ReadLog(strings.NewReader(sampleLog))
	require.NoError(t, err)
	assert.Equal(t, 1, unparsed)
	selected := RequestLog(lines, "k")
	var order []string
	for _, l := range selected {
		order = append(order, l.Process+" "+l.Message)
	}
	assert.Equal(t, []string{
		"front-1 backend server", "front-2 backend server", "front-2 evacuation", "front-1 attempt failed", "front-1 load",
		"front-1 evacuation", "front-1 request",
	}, order, "times of processes whose clocks differ by a minute are aligned")
	var out bytes.Buffer
	require.NoError(t, WriteRequestLog(&out, selected))
	assert.Contains(t, out.String(), "*       0.0 front-1")
	assert.Contains(t, out.String(), "reason=dial")
	assert.Contains(t, out.String(), "version=1814173151113216")
	assert.Nil(t, RequestLog(lines, "absent"))
}

func FuzzReadLog(f *testing.F) {
	f.Add([]byte(sampleLog))
	f.Fuzz(func(t *testing.T, content []byte) {
		lines, _, err := ReadLog(bytes.NewReader(content))
		if err != nil {
			return
		}
		assert.NoError(t, WriteRequestLog(&bytes.Buffer{}, RequestLog(lines, "k")))
	})
}

// TestRequestLogNamesCrashes guards against a request that is rejected because of crashes that its log does not show.
func TestRequestLogNamesCrashes(t *testing.T) {
	lines, _, err := ReadLog(strings.NewReader(`
{"ts":"2026-12-04T10:00:00.000Z","name":"front-1","msg":"backend server crashed","crash":"i-1/5","contents":"a1 b2","source":"attempt r0"}
{"ts":"2026-12-04T10:00:01.000Z","name":"front-2","msg":"backend server crashed","crash":"i-2/5","contents":"b2","source":"front-1"}
{"ts":"2026-12-04T10:09:00.000Z","name":"front-2","msg":"request","id":"r9","content":"a1","crashes":"i-1/5 i-3/5"}
`))
	require.NoError(t, err)
	selected := RequestLog(lines, "r9")
	require.Len(t, selected, 2)
	assert.Equal(t, "i-1/5", selected[0].Fields["crash"])
	assert.True(t, selected[1].Own)
}

// TestRequestLogAlignsErasApart guards against clocks that are aligned by changes that a store numbered alike before and
// after it came back from a copy.
func TestRequestLogAlignsErasApart(t *testing.T) {
	lines, _, err := ReadLog(strings.NewReader(`
{"ts":"2026-12-04T10:00:00.000Z","name":"front-1","msg":"backend server","server":"a","era":1,"revision":80}
{"ts":"2026-12-04T10:01:00.000Z","name":"front-2","msg":"backend server","server":"a","era":2,"revision":80}
{"ts":"2026-12-04T10:01:00.000Z","name":"front-1","msg":"request","id":"r"}
`))
	require.NoError(t, err)
	selected := RequestLog(lines, "r")
	require.Len(t, selected, 2)
	assert.Equal(t, "front-2", selected[0].Process)
	assert.Equal(t, selected[1].Time, selected[0].Time, "the clock of front-2 is not moved")
}

// TestRequestLogNamesDroppedAnswers guards against a request that is refused by an outdated configuration while the
// answers of the store that would have replaced it were dropped long before.
func TestRequestLogNamesDroppedAnswers(t *testing.T) {
	lines, _, err := ReadLog(strings.NewReader(`
{"ts":"2026-12-04T09:00:00.000Z","name":"front-1","msg":"configuration in force","version":4,"era":1,"revision":70}
{"ts":"2026-12-04T09:00:01.000Z","name":"front-1","msg":"configuration in force","version":5,"era":1,"revision":83}
{"ts":"2026-12-04T09:10:00.000Z","name":"front-1","msg":"records are older than the state, dropping them","era":1,"revision":72,"knownEra":2,"known":83,"source":"store"}
{"ts":"2026-12-04T09:10:00.000Z","name":"front-2","msg":"records are older than the state, dropping them","era":1,"revision":72,"knownEra":2,"known":83,"source":"store"}
{"ts":"2026-12-04T10:00:01.000Z","name":"front-1","msg":"request","id":"r","outcome":"refused","reason":"no route matches","version":5,"era":1,"revision":83}
{"ts":"2026-12-04T10:09:00.000Z","name":"front-1","msg":"configuration in force","version":6,"era":2,"revision":84}
`))
	require.NoError(t, err)
	selected := RequestLog(lines, "r")
	require.Len(t, selected, 3)
	assert.EqualValues(t, "5", selected[0].Fields["version"])
	assert.Equal(t, "records are older than the state, dropping them", selected[1].Message)
}
