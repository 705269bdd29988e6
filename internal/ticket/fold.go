package ticket

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// maxSkipped bounds the invalid tickets that a state lists.
const maxSkipped = 64

// SkippedTicket is a ticket that was not applied, with the reason.
type SkippedTicket struct {
	Number Number `json:"number"`
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// State is the immutable configuration after all tickets up to a number.
type State struct {
	Number      Number          `json:"number"`
	Hash        uint64          `json:"hash"` // equal for equal number and objects
	Size        int             `json:"size"` // bytes of all objects in JSON
	Objects     Objects         `json:"objects"`
	Skipped     []SkippedTicket `json:"skipped,omitempty"` // the last invalid tickets, oldest first
	objectsHash uint64          // sum of the objects' hashes, so that a fold only hashes what it changes
}

// Apply returns the state after one more ticket. An invalid ticket changes no objects: the state only takes its number and
// lists it in Skipped.
func (s *State) Apply(t Ticket) *State {
	next, err := s.with(t)
	if err != nil {
		return s.withSkipped(t.Number, err)
	}
	return next
}

// Snapshot returns the JSON form of the state for processes that start from it.
func (s *State) Snapshot() (content []byte, err error) {
	content, err = json.Marshal(Snapshot{Number: s.Number, Objects: s.Objects})
	return content, errors.Wrap(err, "encode snapshot")
}

func (s *State) withSkipped(n Number, cause error) *State {
	skipped := SkippedTicket{Number: n, Field: "content", Reason: cause.Error()}
	var e *InvalidError
	if errors.As(cause, &e) {
		skipped.Field, skipped.Reason = e.Field, e.Reason
	}
	c := *s
	c.Number = n
	c.Skipped = append(append([]SkippedTicket(nil), s.Skipped...), skipped)
	if len(c.Skipped) > maxSkipped {
		c.Skipped = c.Skipped[len(c.Skipped)-maxSkipped:]
	}
	c.Hash = c.computeHash()
	return &c
}

// with folds a ticket into a new state that shares the unchanged objects, or returns an InvalidError.
func (s *State) with(t Ticket) (next *State, err error) {
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
	if c.Size > MaxStateBytes-snapshotOverheadBytes {
		return nil, invalid("objects", "make the whole state longer than "+strconv.Itoa(MaxStateBytes)+" bytes")
	}
	if err = checkReferences(&c.Objects, &t.Objects); err != nil {
		return nil, err
	}
	c.Hash = c.computeHash()
	return &c, nil
}

// snapshotOverheadBytes bounds what a snapshot adds to the size of the objects.
const snapshotOverheadBytes = 1 << 10

// fold returns old with the changed objects replaced, and updates the hash and size of the state.
func fold[T any](s *State, kind string, old, changed map[string]*T) map[string]*T {
	if len(changed) == 0 {
		return old
	}
	merged := maps.Clone(old)
	if merged == nil {
		merged = make(map[string]*T, len(changed))
	}
	for name, o := range changed {
		if before, ok := merged[name]; ok {
			sum, size := hashAndSize(kind, name, before)
			s.objectsHash -= sum
			s.Size -= size
			delete(merged, name)
		}
		if o == nil {
			continue
		}
		sum, size := hashAndSize(kind, name, o)
		s.objectsHash += sum
		s.Size += size
		merged[name] = o
	}
	return merged
}

// hashAndSize returns the hash of one object under its kind and name, and its size in bytes.
func hashAndSize(kind, name string, object any) (sum uint64, size int) {
	content, err := json.Marshal(object)
	if err != nil { // only for a share that is not finite, which checkTicket rejects
		return 0, 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(kind + "/" + name + "/")
	_, _ = d.Write(content)
	const punctuation = 4 // bytes of the quotes, colon and comma around a name
	return d.Sum64(), len(name) + punctuation + len(content)
}

func (s *State) computeHash() uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(s.Number))
	binary.LittleEndian.PutUint64(b[8:], s.objectsHash)
	return xxhash.Sum64(b[:])
}
