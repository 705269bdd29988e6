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
