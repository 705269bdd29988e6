package caller

import "bufio"

// Relay writes the events of one stream to a caller in the order in which they come.
type Relay struct {
	w      *bufio.Writer
	id     string
	answer *answer
}

// NewRelay returns a relay for the request with the id.
func NewRelay(w *bufio.Writer, id string) *Relay {
	r := &Relay{w: w, id: id}
	r.answer = newAnswer(func(index uint64, data []byte) error {
		return writeEvent(r.w, r.id, piece{index: index, data: data})
	})
	return r
}

// Pass writes the next events.
func (r *Relay) Pass(events [][]byte) error {
	for _, data := range events {
		if err := r.answer.one(data); err != nil {
			return err
		}
	}
	return nil
}
