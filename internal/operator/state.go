package operator

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// maxPages bounds the calls to the configuration service for one state.
const maxPages = 1000

// Spans of the book in which the tickets of one reading settle together.
const (
	settled = clock.Millisecond
	sealed  = clock.Hour
)

// State returns the state in force at the first process that answers.
func (c *Client) State() (s *ticket.State, err error) {
	err = &UnreachableError{Address: "any process", Reason: "no address is given"}
	for _, a := range c.Asked {
		content, failed := get("http://" + a + PathState)
		if failed == nil {
			return decodeState(content)
		}
		err = failed
	}
	return nil, err
}

// decodeState reads a snapshot, where number 0 stands for no ticket at all.
func decodeState(content []byte) (*ticket.State, error) {
	var s ticket.Snapshot
	if err := json.Unmarshal(content, &s); err == nil && s.Number == 0 {
		return &ticket.State{}, nil
	}
	return ticket.DecodeSnapshot(content)
}

// Published returns the state up to the first gap by the tickets that the configuration service holds.
func Published(address string) (s *ticket.State, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "read tickets")
		}
	}()
	address = strings.TrimSuffix(address, "/")
	book := ticket.NewBook(settled, sealed)
	if err := addSnapshot(book, address); err != nil {
		return nil, err
	}
	for range maxPages {
		known := book.Seen()
		if err := addPage(book, address, known); err != nil {
			return nil, err
		}
		if book.Seen() == known {
			book.Advance(clock.Time(settled))
			return book.State(), nil
		}
	}
	return nil, errors.Newf("more than %d pages", maxPages)
}

func addSnapshot(b *ticket.Book, address string) error {
	content, err := get(address + "/snapshot")
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) && unreachable.Status == fasthttp.StatusNotFound {
		return nil
	}
	if err != nil {
		return err
	}
	_, err = b.AddSnapshot(0, content)
	return err
}

// addPage takes in one answer of the service; the book judges each ticket as every process does.
func addPage(b *ticket.Book, address string, after ticket.Number) error {
	content, err := get(address + "/tickets?after=" + strconv.FormatUint(uint64(after), 10))
	if err != nil {
		return err
	}
	var page struct {
		Tickets []json.RawMessage `json:"tickets"`
	}
	if err := json.Unmarshal(content, &page); err != nil {
		return err
	}
	for _, t := range page.Tickets {
		if _, err := b.Add(0, t, 0); err != nil {
			return err
		}
	}
	return nil
}
