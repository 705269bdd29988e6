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
	// MaxContent is the longest content of one ticket.
	MaxContent = 1 << 20
	// MaxState is the longest JSON form of a folded state, so that one message carries it.
	MaxState = 3 << 20
	// maxName is the longest name of an object, author, version or adapter.
	maxName = 128
)

// InvalidError says which field of a ticket is wrong and why.
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

// Decode reads one ticket strictly and returns an InvalidError for anything that is not a ticket.
func Decode(content []byte) (t Ticket, err error) {
	defer func() { err = errors.Wrap(err, "decode ticket") }()
	if len(content) > MaxContent {
		return t, invalid("content", "is longer than "+strconv.Itoa(MaxContent)+" bytes")
	}
	if err = decodeStrict(content, &t); err != nil {
		return t, err
	}
	if t.Number == 0 {
		return t, invalid("number", "must be at least 1")
	}
	return t, nil
}

// Snapshot is the folded state up to a number as it is published and passed on.
type Snapshot struct {
	Number  Number  `json:"number"`
	Objects Objects `json:"objects"`
}

// DecodeSnapshot reads a snapshot strictly and folds it into a state.
func DecodeSnapshot(content []byte) (s *State, err error) {
	defer func() { err = errors.Wrap(err, "decode snapshot") }()
	if len(content) > MaxState {
		return nil, invalid("content", "is longer than "+strconv.Itoa(MaxState)+" bytes")
	}
	var n Snapshot
	if err = decodeStrict(content, &n); err != nil {
		return nil, err
	}
	if n.Number == 0 {
		return nil, invalid("number", "must be at least 1")
	}
	s, err = (&State{}).next(Ticket{Number: n.Number, Author: "snapshot", Objects: n.Objects})
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

// failedField names the field at which decoding failed, or the whole content.
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

// NumberOf reads only the number, so that a ticket that fails to decode keeps its place.
func NumberOf(content []byte) (n Number, err error) {
	var place struct {
		Number Number `json:"number"`
	}
	if err = json.Unmarshal(content, &place); err != nil {
		return 0, invalid("number", err.Error())
	}
	if place.Number == 0 {
		return 0, invalid("number", "must be at least 1")
	}
	return place.Number, nil
}

// canonical returns a content's number and one byte form for each meaning, so that white space makes no conflict.
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
