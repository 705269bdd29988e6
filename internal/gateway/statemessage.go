package gateway

import (
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

// stateMessage is a Delta in the messages between entries. Entries of an earlier release have no eras: they send and
// expect revisions alone, which are positions in an unknown era here.
type stateMessage struct {
	Era      int64 `json:",omitempty"` // of the position and of all changes
	Revision int64
	Whole    bool
	Lapse    clock.Span
	Changes  []changeMessage
	Retained []retainedMessage `json:",omitempty"`
}

// changeMessage is a Change.
type changeMessage struct {
	Key      string
	Value    []byte
	Revision int64
	Removed  bool
	Invalid  string `json:",omitempty"` // why the value can't be decoded; empty if it can
}

// retainedMessage is a RetainedRecord.
type retainedMessage struct {
	changeMessage
	Era          int64
	OverEra      int64
	OverRevision int64
	Remaining    clock.Span
}

func newStateMessage(d Delta) stateMessage {
	m := stateMessage{Whole: d.Whole, Lapse: d.Lapse}
	m.Era, m.Revision = d.Position.Numbers()
	for _, c := range d.Changes {
		message, _ := newChangeMessage(c)
		m.Changes = append(m.Changes, message)
	}
	for _, r := range d.Retained {
		message := retainedMessage{Remaining: r.Remaining}
		message.changeMessage, message.Era = newChangeMessage(r.Change)
		message.OverEra, message.OverRevision = r.Over.Numbers()
		m.Retained = append(m.Retained, message)
	}
	return m
}

func newChangeMessage(c Change) (m changeMessage, era int64) {
	era, revision := c.Position.Numbers()
	m = changeMessage{Key: c.Key, Value: c.Value, Revision: revision, Removed: c.Removed}
	if c.Fault != nil {
		m.Invalid = c.Fault.Error()
	}
	return m, era
}

func (m stateMessage) delta() Delta {
	d := Delta{Position: store.At(m.Era, m.Revision), Whole: m.Whole, Lapse: m.Lapse}
	for _, c := range m.Changes {
		d.Changes = append(d.Changes, c.change(m.Era))
	}
	for _, r := range m.Retained {
		d.Retained = append(d.Retained, RetainedRecord{Change: r.change(r.Era), Over: store.At(r.OverEra, r.OverRevision), Remaining: r.Remaining})
	}
	return d
}

func (m changeMessage) change(era int64) Change {
	c := Change{Key: m.Key, Value: m.Value, Position: store.At(era, m.Revision), Removed: m.Removed}
	if m.Invalid != "" {
		c.Fault = errors.New(m.Invalid)
	}
	return c
}

// positionQuery returns the query that asks a peer for its changes after a position.
func positionQuery(p store.Position) url.Values {
	era, revision := p.Numbers()
	return url.Values{"era": {strconv.FormatInt(era, 10)}, "after": {strconv.FormatInt(revision, 10)}}
}

// parsePosition parses a query of positionQuery; the era is unknown if the peer sends none.
func parsePosition(query url.Values) (p store.Position, err error) {
	era := int64(0)
	if text := query.Get("era"); text != "" {
		if era, err = strconv.ParseInt(text, 10, 64); err != nil {
			return p, errors.Newf("era %q is not a number", text)
		}
	}
	revision, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		return p, errors.Newf("after %q is not a revision", query.Get("after"))
	}
	return store.At(era, revision), nil
}
