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

// maxTicketPages bounds the requests to the configuration service for one state.
const maxTicketPages = 1000

// Delays of the ticket store in PublishedState: one Advance to settleDelay applies all tickets, and no number is sealed
// before it.
const (
	settleDelay = clock.Millisecond
	sealDelay   = clock.Hour
)

// State returns the configuration in force at the first address that responds.
func (c *Client) State() (s *ticket.State, err error) {
	err = &UnreachableError{Address: "any process", Reason: "no address is given"}
	for _, a := range c.Addresses {
		content, getErr := httpGet("http://" + a + PathState)
		if getErr == nil {
			return decodeState(content)
		}
		err = getErr
	}
	return nil, err
}

// decodeState decodes a snapshot; number 0 means that no ticket is in force and gives an empty state.
func decodeState(content []byte) (*ticket.State, error) {
	var s ticket.Snapshot
	if err := json.Unmarshal(content, &s); err == nil && s.Number == 0 {
		return &ticket.State{}, nil
	}
	return ticket.DecodeSnapshot(content)
}

// PublishedState returns the state built from the snapshot and the tickets of the configuration service at address, up to the
// first missing ticket.
func PublishedState(address string) (s *ticket.State, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "read tickets")
		}
	}()
	address = strings.TrimSuffix(address, "/")
	store := ticket.NewStore(settleDelay, sealDelay)
	if err := addSnapshot(store, address); err != nil {
		return nil, err
	}
	for range maxTicketPages {
		known := store.LastContiguous()
		if err := addPage(store, address, known); err != nil {
			return nil, err
		}
		if store.LastContiguous() == known {
			store.Advance(clock.Time(settleDelay))
			return store.State(), nil
		}
	}
	return nil, errors.Newf("more than %d pages", maxTicketPages)
}

func addSnapshot(store *ticket.Store, address string) error {
	content, err := httpGet(address + "/snapshot")
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) && unreachable.Status == fasthttp.StatusNotFound {
		return nil
	}
	if err != nil {
		return err
	}
	_, err = store.AddSnapshot(0, content)
	return err
}

// addPage reads one page of tickets above a number and adds them to the store, which validates them as it does in a
// process.
func addPage(store *ticket.Store, address string, after ticket.Number) error {
	content, err := httpGet(address + "/tickets?after=" + strconv.FormatUint(uint64(after), 10))
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
		if _, err := store.Add(0, t, 0); err != nil {
			return err
		}
	}
	return nil
}
