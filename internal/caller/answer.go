package caller

import (
	"github.com/cespare/xxhash/v2"

	"carawaypick/internal/peer/peerpb"
)

// answer checks the events of one answer across attempts and passes each on once.
type answer struct {
	count uint64 // events passed on
	hash  *xxhash.Digest
	pass  func(index uint64, data []byte) error
}

func newAnswer(pass func(index uint64, data []byte) error) *answer {
	return &answer{hash: xxhash.New(), pass: pass}
}

// chunk passes new events on and returns the reason for which the attempt must end, if any.
func (a *answer) chunk(c *peerpb.Chunk) (reason string) {
	for i, data := range c.GetEvents() {
		index := c.GetIndex() + uint64(i)
		if index < a.count {
			continue
		}
		if index > a.count {
			return ReasonOrder
		}
		if err := a.one(data); err != nil {
			return reasonGone
		}
	}
	return ""
}

// one passes the next event on.
func (a *answer) one(data []byte) error {
	if err := a.pass(a.count, data); err != nil {
		return err
	}
	_, _ = a.hash.Write(data)
	a.count++
	return nil
}

// check holds the final event against what was passed on.
func (a *answer) check(f *peerpb.Final) (reason string) {
	if f.GetCount() != a.count {
		return ReasonOrder
	}
	if f.GetHash() != a.hash.Sum64() {
		return ReasonHash
	}
	return ""
}
