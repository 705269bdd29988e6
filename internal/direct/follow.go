package direct

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"carawaypick/pkg/clock"
)

const (
	askTimeout = 400 * clock.Millisecond // for a peer's answer, which is small and comes from memory
	maxState   = 64 << 20                // bytes of a peer's answer
)

// follow takes over what the peer that is furthest ahead knows more, if one is ahead.
func (e *Entry) follow(ctx context.Context) (err error) {
	revision := e.belief.Revision()
	control, ok := e.peers.Ahead(revision)
	if !ok {
		return nil
	}
	defer func() { err = errors.Wrapf(err, "ask peer %s", control) }()
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	query := url.Values{"after": {strconv.FormatInt(revision, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+statePath+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	var d Delta
	err = json.NewDecoder(io.LimitReader(response.Body, maxState)).Decode(&d)
	if err = errors.CombineErrors(err, response.Body.Close()); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("status %d", response.StatusCode)
	}
	e.belief.Learn(d, "peer "+control)
	if d.Whole {
		level.Info(e.journal.Logger).Log("msg", "belief taken from a peer", "peer", control, "revision", d.Revision, "items", len(d.Changes))
	}
	return nil
}

// Following is how a reader leaves the store to other processes, since each of its calls has a price.
type Following struct {
	Reads  func(lost bool) bool            // this process is one of those that read the store, which has lost it or not
	Follow func(ctx context.Context) error // takes over what other processes know more
	News   <-chan struct{}                 // another process may know more
	Tell   func()                          // tells the others that this process may know more
}

const (
	followPeriod = 200 * clock.Millisecond // between two looks at what the others know, where no news comes
	lostFor      = 5 * clock.Second        // after a failed call in which the store is left to others
)

// wait follows the others once and waits for news; it fails where the store must be read instead.
func (f Following) wait(ctx context.Context) error {
	if err := f.Follow(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-f.News:
	case <-time.After(followPeriod.Duration()):
	}
	return nil
}
