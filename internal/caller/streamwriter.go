package caller

import "bufio"

// StreamWriter writes the events of one stream to a caller, numbered from 0.
type StreamWriter struct {
	w      *bufio.Writer
	id     string
	answer *answer
}

// NewStreamWriter returns a writer for the request with the id.
func NewStreamWriter(w *bufio.Writer, id string) *StreamWriter {
	s := &StreamWriter{w: w, id: id}
	s.answer = newAnswer(func(index uint64, data []byte) error {
		return writeEvent(s.w, s.id, answerEvent{index: index, data: data})
	})
	return s
}

// WriteEvents writes and flushes the next events.
func (s *StreamWriter) WriteEvents(events [][]byte) error {
	for _, data := range events {
		if err := s.answer.forwardNext(data); err != nil {
			return err
		}
	}
	return nil
}
