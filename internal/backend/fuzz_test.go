package backend

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
)

// FuzzStream reads an engine's answer: events come in order from where the caller stands, and an end counts them all.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"r\",\"index\":2,\"text\":\"a\"}\n\nevent: end\ndata: {\"id\":\"r\",\"count\":3,\"hash\":\"0\"}\n\n"))
	f.Add([]byte("data: {\"id\":\"other\",\"index\":2,\"text\":\"a\"}\n\n"))
	f.Add([]byte("event: end\ndata: {\"id\":\"r\",\"count\":9,\"hash\":\"0\"}\n\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		const resume = 2
		next := uint64(resume)
		s := stream{task: Task{ID: "r", Resume: resume, Limit: 1 << 10}, next: resume}
		s.emit = func(p Piece) error {
			assert.Equal(t, next, p.Index)
			next++
			return nil
		}
		end, err := s.read(bytes.NewReader(content))
		if err == nil {
			assert.Equal(t, next, end.Count)
		}
	})
}
