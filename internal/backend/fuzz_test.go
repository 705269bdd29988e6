package backend

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
)

// FuzzStream checks that an engine's events are emitted in order from the resume position, and that the count of a
// complete stream matches them.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"r\",\"index\":2,\"text\":\"a\"}\n\nevent: end\ndata: {\"id\":\"r\",\"count\":3,\"hash\":\"0\"}\n\n"))
	f.Add([]byte("data: {\"id\":\"other\",\"index\":2,\"text\":\"a\"}\n\n"))
	f.Add([]byte("event: end\ndata: {\"id\":\"r\",\"count\":9,\"hash\":\"0\"}\n\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		const resume = 2
		next := uint64(resume)
		s := eventReader{task: Task{ID: "r", Resume: resume, MaxBytes: 1 << 10}, next: resume}
		s.emit = func(e Event) error {
			assert.Equal(t, next, e.Index)
			next++
			return nil
		}
		summary, err := s.read(bytes.NewReader(content))
		if err == nil {
			assert.Equal(t, next, summary.Count)
		}
	})
}
