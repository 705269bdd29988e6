package caller

import (
	"github.com/cespare/xxhash/v2"

	"carawaypick/internal/peer/peerpb"
)

// answer checks the events of one answer across attempts and forwards each of them once.
type answer struct {
	forwarded uint64 // number of forwarded events
	hash      *xxhash.Digest
	forward   func(index uint64, data []byte) error
}

func newAnswer(forward func(index uint64, data []byte) error) *answer {
	return &answer{hash: xxhash.New(), forward: forward}
}

// addChunk forwards events that are new and returns the reason if the attempt must end.
func (a *answer) addChunk(c *peerpb.Chunk) (reason string) {
	for i, data := range c.GetEvents() {
		index := c.GetIndex() + uint64(i)
		if index < a.forwarded {
			continue
		}
		if index > a.forwarded {
			return ReasonOrder
		}
		if err := a.forwardNext(data); err != nil {
			return reasonCallerGone
		}
	}
	return ""
}

// forwardNext forwards the next event and counts it.
func (a *answer) forwardNext(data []byte) error {
	if err := a.forward(a.forwarded, data); err != nil {
		return err
	}
	_, _ = a.hash.Write(data)
	a.forwarded++
	return nil
}

// verify compares the final event's count and hash with the forwarded events and returns the reason of a mismatch.
func (a *answer) verify(f *peerpb.Final) (reason string) {
	if f.GetCount() != a.forwarded {
		return ReasonOrder
	}
	if f.GetHash() != a.hash.Sum64() {
		return ReasonHash
	}
	return ""
}
