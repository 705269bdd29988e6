package ticket

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// maxSkipped is the number of invalid tickets that a state remembers.
const maxSkipped = 64

// Skip is one ticket that was not applied, and why.
type Skip struct {
	Number Number `json:"number"`
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// State is the immutable fold of all tickets up to a number.
type State struct {
	Number  Number  `json:"number"`
	Hash    uint64  `json:"hash"` // equal for equal number and objects
	Size    int     `json:"size"` // bytes of all objects in JSON
	Objects Objects `json:"objects"`
	Skipped []Skip  `json:"skipped,omitempty"` // the last invalid tickets, oldest first
	sum     uint64  // sum of the objects' hashes, so that a fold costs only what it touches
}

// Apply returns the state after one more ticket; an invalid one only takes its number.
func (s *State) Apply(t Ticket) *State {
	n, err := s.next(t)
	if err != nil {
		return s.skip(t.Number, err)
	}
	return n
}

// Snapshot returns the state's JSON form for processes that start from it.
func (s *State) Snapshot() (content []byte, err error) {
	content, err = json.Marshal(Snapshot{Number: s.Number, Objects: s.Objects})
	return content, errors.Wrap(err, "encode snapshot")
}

func (s *State) skip(n Number, cause error) *State {
	k := Skip{Number: n, Field: "content", Reason: cause.Error()}
	var e *InvalidError
	if errors.As(cause, &e) {
		k.Field, k.Reason = e.Field, e.Reason
	}
	c := *s
	c.Number = n
	c.Skipped = append(append([]Skip(nil), s.Skipped...), k)
	if len(c.Skipped) > maxSkipped {
		c.Skipped = c.Skipped[len(c.Skipped)-maxSkipped:]
	}
	c.Hash = c.digest()
	return &c
}

// next folds a valid ticket into a new state that shares what the ticket does not touch.
func (s *State) next(t Ticket) (n *State, err error) {
	if err = checkTicket(t); err != nil {
		return nil, err
	}
	if t.Number <= s.Number {
		return nil, invalid("number", "is not above "+strconv.FormatUint(uint64(s.Number), 10))
	}
	c := *s
	c.Number = t.Number
	c.Objects.Teams = fold(&c, "teams", s.Objects.Teams, t.Objects.Teams)
	c.Objects.Zones = fold(&c, "zones", s.Objects.Zones, t.Objects.Zones)
	c.Objects.Services = fold(&c, "services", s.Objects.Services, t.Objects.Services)
	c.Objects.Models = fold(&c, "models", s.Objects.Models, t.Objects.Models)
	c.Objects.Backends = fold(&c, "backends", s.Objects.Backends, t.Objects.Backends)
	c.Objects.Groups = fold(&c, "groups", s.Objects.Groups, t.Objects.Groups)
	if c.Size > MaxState-snapshotRoom {
		return nil, invalid("objects", "make the whole state longer than "+strconv.Itoa(MaxState)+" bytes")
	}
	if err = checkReferences(&c.Objects, &t.Objects); err != nil {
		return nil, err
	}
	c.Hash = c.digest()
	return &c, nil
}

// snapshotRoom is what a snapshot adds to the objects' own bytes.
const snapshotRoom = 1 << 10

// fold returns old with the touched objects replaced, and keeps the state's sum and size in step.
func fold[T any](s *State, kind string, old, touched map[string]*T) map[string]*T {
	if len(touched) == 0 {
		return old
	}
	merged := maps.Clone(old)
	if merged == nil {
		merged = make(map[string]*T, len(touched))
	}
	for name, o := range touched {
		if before, ok := merged[name]; ok {
			sum, size := measure(kind, name, before)
			s.sum -= sum
			s.Size -= size
			delete(merged, name)
		}
		if o == nil {
			continue
		}
		sum, size := measure(kind, name, o)
		s.sum += sum
		s.Size += size
		merged[name] = o
	}
	return merged
}

// measure returns the hash and the bytes of one object in its place.
func measure(kind, name string, object any) (sum uint64, size int) {
	content, err := json.Marshal(object)
	if err != nil { // only a share that is not finite, which checkTicket refuses
		return 0, 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(kind + "/" + name + "/")
	_, _ = d.Write(content)
	const quotes = 4 // quotes, colon and comma around a name
	return d.Sum64(), len(name) + quotes + len(content)
}

func (s *State) digest() uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(s.Number))
	binary.LittleEndian.PutUint64(b[8:], s.sum)
	return xxhash.Sum64(b[:])
}
