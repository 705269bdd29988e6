package ticket

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Bounds in bytes.
const (
	// MaxTicketBytes is the longest content of one ticket.
	MaxTicketBytes = 1 << 20
	// MaxStateBytes is the longest JSON form of a state, so that one message carries it.
	MaxStateBytes = 3 << 20
	// maxNameBytes is the longest name of an object, author, version or adapter.
	maxNameBytes = 128
)

// InvalidError names an invalid field of a ticket or snapshot, and the reason.
type InvalidError struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// Error returns the field and the reason.
func (e *InvalidError) Error() string {
	return e.Field + ": " + e.Reason
}

func invalid(field, reason string) error {
	return errors.WithStack(&InvalidError{Field: field, Reason: reason})
}

// Decode decodes one ticket strictly, and returns an InvalidError for any other content.
func Decode(content []byte) (t Ticket, err error) {
	defer func() { err = errors.Wrap(err, "decode ticket") }()
	if len(content) > MaxTicketBytes {
		return t, invalid("content", "is longer than "+strconv.Itoa(MaxTicketBytes)+" bytes")
	}
	if err = decodeStrict(content, &t); err != nil {
		return t, err
	}
	if t.Number == 0 {
		return t, invalid("number", "must be at least 1")
	}
	return t, nil
}

// Snapshot is the state after all tickets up to a number, as published and as sent to peers.
type Snapshot struct {
	Number  Number  `json:"number"`
	Objects Objects `json:"objects"`
}

// DecodeSnapshot decodes a snapshot strictly into a state, and returns an InvalidError for any other content.
func DecodeSnapshot(content []byte) (s *State, err error) {
	defer func() { err = errors.Wrap(err, "decode snapshot") }()
	if len(content) > MaxStateBytes {
		return nil, invalid("content", "is longer than "+strconv.Itoa(MaxStateBytes)+" bytes")
	}
	var snapshot Snapshot
	if err = decodeStrict(content, &snapshot); err != nil {
		return nil, err
	}
	if snapshot.Number == 0 {
		return nil, invalid("number", "must be at least 1")
	}
	s, err = (&State{}).with(Ticket{Number: snapshot.Number, Author: "snapshot", Objects: snapshot.Objects})
	if err != nil {
		return nil, err
	}
	return s, nil
}

func decodeStrict(content []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(content))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return invalid(failedField(err), err.Error())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return invalid("content", "has more after its end")
	}
	return nil
}

// failedField returns the field at which decoding failed, or "content" if unknown.
func failedField(err error) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) && mismatch.Field != "" {
		return mismatch.Field
	}
	_, name, _ := strings.Cut(err.Error(), "unknown field ")
	if name = strings.Trim(name, `"`); name != "" {
		return name
	}
	return "content"
}

// NumberOf decodes only the number, so that an otherwise invalid ticket keeps its position.
func NumberOf(content []byte) (n Number, err error) {
	var partial struct {
		Number Number `json:"number"`
	}
	if err = json.Unmarshal(content, &partial); err != nil {
		return 0, invalid("number", err.Error())
	}
	if partial.Number == 0 {
		return 0, invalid("number", "must be at least 1")
	}
	return partial.Number, nil
}

// canonical returns the number and the canonical JSON of a content, so that white space causes no conflict.
func canonical(content []byte) (n Number, form []byte, err error) {
	t, failed := Decode(content)
	if failed == nil {
		form, err = json.Marshal(t)
		return t.Number, form, errors.Wrap(err, "encode ticket")
	}
	if n, err = NumberOf(content); err != nil {
		return 0, nil, err
	}
	var b bytes.Buffer
	if err = json.Compact(&b, content); err != nil {
		return 0, nil, invalid("content", err.Error())
	}
	return n, b.Bytes(), nil
}
