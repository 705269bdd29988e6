package gateway

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventSize is the maximum size of one event in bytes. Many streams may have one in memory at the same time.
const maxEventSize = 128 << 10

// event is one server-sent event in its raw form.
type event struct {
	raw   []byte
	id    string
	hasID bool // the event has an id field
}

// readEvent reads one event up to its empty line; it returns io.EOF if the stream ended between events and
// io.ErrUnexpectedEOF if it ended within one. The function large, nil for none, is called while the event is larger than the reader's
// buffer.
func readEvent(r *bufio.Reader, large func() error) (v event, err error) {
	start := 0 // of the line
	for {
		part, err := r.ReadSlice('\n')
		v.raw = append(v.raw, part...)
		if errors.Is(err, bufio.ErrBufferFull) && len(v.raw) < maxEventSize {
			if large != nil {
				if err := large(); err != nil {
					return v, err
				}
			}
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(v.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return v, err
		}
		if len(v.raw) > maxEventSize {
			return v, errors.Newf("event exceeds %d bytes", maxEventSize)
		}
		field := bytes.TrimRight(v.raw[start:], "\r\n")
		start = len(v.raw)
		if len(field) == 0 {
			return v, nil
		}
		if id, found := bytes.CutPrefix(field, []byte("id:")); found {
			v.id, v.hasID = string(bytes.TrimSpace(id)), true
		}
	}
}

// isNextEvent reports whether the event id next may follow the event id last: numeric ids must be consecutive.
func isNextEvent(last, next string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(next, 10, 64)
	if errA != nil || errB != nil {
		return last != next // non-numeric ids must only differ
	}
	return b == a+1
}

// isNumber reports whether an event id is a number, so that the id that follows it is known.
func isNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// eventSequence reads the events of one attempt and decides what belongs to the caller's stream and whether it may end.
//
// The first attempt is answered by one server with its whole body: events with ids in order, others before, between and after
// them, and an end between two events. If the body goes on with a stream that another server began, the server's word is not
// enough, as it may answer with an error instead: each event must have the next id, but that events of known fields may stand
// between them and after the last one, other than errors; lines must have the form of fields; comments before the first event
// are left out; and the stream may end only after an event that follows. So an answer without any event never ends a stream:
// whether the other server had sent all of it can't be known.
type eventSequence struct {
	reader    *bufio.Reader
	last      string       // id of the last event that the caller has, empty for none
	continues bool         // the caller's stream was begun by another attempt
	numbered  bool         // this attempt sent an event with an id
	large     func() error // takes the memory of a large event; nil for none
}

// next returns the next event that has an id together with those before it that have none. Others are held back, so that a
// server which sends nothing else is recognised as faulty before the caller gets any of it; at the end of the stream the event has
// those that no other follows. It returns an error if the event doesn't belong to the stream, or if the stream can't end here.
func (s *eventSequence) next() (v event, ended bool, err error) {
	for {
		part, err := readEvent(s.reader, s.large)
		ended = errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
		if err != nil && !ended {
			return v, false, err
		}
		if !ended && part.hasID && !isNextEvent(s.last, part.id) {
			return v, false, errors.Newf("unexpected event id: got %.64q after %q", part.id, s.last)
		}
		if s.continues {
			if err := s.checkContinued(part, ended); err != nil {
				return v, false, err
			}
			if !s.numbered && !part.hasID {
				continue // a comment before the first event
			}
		}
		v.raw, v.id, v.hasID = append(v.raw, part.raw...), part.id, part.hasID
		if len(v.raw) > maxEventSize {
			return v, false, errors.Newf("%d bytes of events without an id", len(v.raw))
		}
		if v.hasID || ended {
			s.last, s.numbered = v.id, true
			return v, ended, nil
		}
	}
}

// checkContinued returns an error if the event, or the end, can't belong to a stream that another server began.
func (s *eventSequence) checkContinued(v event, ended bool) error {
	switch {
	case ended && !s.numbered:
		return errors.New("stream that goes on ends without an event")
	case v.hasID && !isNumber(v.id):
		return errors.Newf("stream goes on with the event id %.64q", v.id)
	case !v.isWellFormed():
		return errors.Newf("stream goes on with what is no event: %.64q", v.raw)
	case !v.hasID && !s.numbered && !v.isComment():
		return errors.Newf("stream goes on with an event without an id: %.64q", v.raw)
	case !v.hasID && !v.hasKnownFields():
		return errors.Newf("event without an id can't belong to the stream that goes on: %.64q", v.raw)
	}
	return nil
}

// fields calls visit with the name and the value of each line of the event, an empty name for comments, until it returns false.
func (v event) fields(visit func(name, value string) bool) (all bool) {
	for line := range bytes.Lines(v.raw) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !visit(string(name), string(bytes.TrimSpace(value))) {
			return false
		}
	}
	return true
}

// isWellFormed reports whether all lines have the form of fields, whose names are in lower case.
func (v event) isWellFormed() bool {
	return v.fields(func(name, _ string) bool {
		for _, c := range name {
			if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
				return false
			}
		}
		return true
	})
}

// isComment reports whether the event has only comments.
func (v event) isComment() bool {
	return v.fields(func(name, _ string) bool { return name == "" })
}

// hasKnownFields reports whether the event has only the fields of events, and is no error.
func (v event) hasKnownFields() bool {
	return v.fields(func(name, value string) bool {
		switch name {
		case "", "data", "retry", "id":
			return true
		case "event":
			return value != "error"
		}
		return false
	})
}
