package operator

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/ticket"
)

// maxPages bounds the calls to the configuration service for one state.
const maxPages = 1000

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

// Published returns the state up to the first gap by the tickets of the configuration service.
func Published(address string) (s *ticket.State, err error) {
	address = strings.TrimSuffix(address, "/")
	s, err = publishedSnapshot(address)
	if err != nil {
		return nil, err
	}
	for range maxPages {
		next, err := publishedPage(address, s)
		if err != nil {
			return nil, err
		}
		if next.Number == s.Number {
			return s, nil
		}
		s = next
	}
	return nil, errors.Newf("more than %d pages of tickets", maxPages)
}

func publishedSnapshot(address string) (*ticket.State, error) {
	content, err := get(address + "/snapshot")
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) && unreachable.Missing {
		return &ticket.State{}, nil
	}
	if err != nil {
		return nil, err
	}
	return decodeState(content)
}

// publishedPage folds one answer of the service into s, invalid tickets skipped.
func publishedPage(address string, s *ticket.State) (*ticket.State, error) {
	content, err := get(address + "/tickets?after=" + strconv.FormatUint(uint64(s.Number), 10))
	if err != nil {
		return nil, err
	}
	var page struct {
		Tickets []json.RawMessage `json:"tickets"`
	}
	if err := json.Unmarshal(content, &page); err != nil {
		return nil, errors.Wrap(err, "read tickets")
	}
	tickets := make([]ticket.Ticket, 0, len(page.Tickets))
	for _, raw := range page.Tickets {
		t, err := ticket.Decode(raw)
		if err == nil {
			tickets = append(tickets, t)
		}
	}
	slices.SortStableFunc(tickets, func(a, b ticket.Ticket) int { return int(a.Number) - int(b.Number) })
	for _, t := range tickets {
		if t.Number == s.Number+1 {
			s = s.Apply(t)
		}
	}
	return s, nil
}
