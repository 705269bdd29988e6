package gateway

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

const (
	pullTimeout  = 400 * clock.Millisecond // for a peer's response, which is small and served from memory
	maxStateSize = 64 << 20                // maximum bytes of a peer's response
)

// pullState applies the newer state of the peer with the latest position, if any is ahead of this entry.
func (e *Entry) pullState(ctx context.Context) error {
	position := e.state.Position()
	control, ok := e.peers.Ahead(position)
	if !ok {
		return nil
	}
	return e.pullFrom(ctx, control, position)
}

// pullFrom applies what the peer with the control address has after a position.
func (e *Entry) pullFrom(ctx context.Context, control string, position store.Position) (err error) {
	defer func() { err = errors.Wrapf(err, "pull state from peer %s", control) }()
	var m stateMessage
	if err := getFromPeer(ctx, control, statePath+"?"+positionQuery(position).Encode(), &m); err != nil {
		return err
	}
	d := m.delta()
	e.state.ApplyDelta(d, "peer "+control)
	if d.Whole {
		level.Info(logAt(e.limitedLogger.Logger, d.Position)).Log("msg", "belief taken from a peer", "peer", control, "items", len(d.Changes))
	}
	return nil
}

// getFromPeer reads the JSON at path of the peer with the control address into the value that into points to.
func getFromPeer(ctx context.Context, control, path string, into any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateSize)).Decode(into)
	if err = errors.CombineErrors(err, response.Body.Close()); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("status %d", response.StatusCode)
	}
	return nil
}

// PeerSync lets a StoreReader get updates from peers instead of the store, because each store call has a cost.
type PeerSync struct {
	ShouldRead func(lost bool) bool            // reports whether this process reads the store; lost is true if its last store call failed
	Pull       func(ctx context.Context) error // applies newer state of other processes
	Updates    <-chan struct{}                 // signals that another process may have newer state
	Notify     func()                          // announces newer state of this process to the others
}

const (
	pullInterval    = 200 * clock.Millisecond // between two pulls if no update is signalled
	storeRetryDelay = 5 * clock.Second        // after a failed store call, before this process may read the store again
)

// pullAndWait pulls once and waits for an update or pullInterval; an error means that the store must be read instead.
func (s PeerSync) pullAndWait(ctx context.Context) error {
	if err := s.Pull(ctx); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-s.Updates:
	case <-time.After(pullInterval.Duration()):
	}
	return nil
}

// ShouldReadStore reports whether this entry is among the maxStoreReaders entries that read the store for all; lost
// says that its own last store call failed, position what it has read. All entries rank the live ones in the same order,
// by a hash of the IP address, with those that can't reach the store last. Peers of an earlier release don't count for
// an entry that knows the store's era, because it can't follow them.
func (p *PeerSet) ShouldReadStore(lost bool, position store.Position) bool {
	own := xxhash.Sum64String(p.ip)
	p.mu.Lock()
	defer p.mu.Unlock()
	before := 0
	for ip, peer := range p.peers {
		precedes := xxhash.Sum64String(ip) < own
		if peer.lastMessage.Lost != lost {
			precedes = lost
		}
		theirs := peer.lastMessage.position()
		followable := theirs.HasEra() || theirs.IsZero() || !position.HasEra()
		if peer.alive && precedes && followable {
			before++
		}
	}
	return before < maxStoreReaders
}

// Ahead returns the control address of the live peer with the latest position; ok is false if none is after position.
func (p *PeerSet) Ahead(position store.Position) (control string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		if theirs := peer.lastMessage.position(); peer.alive && theirs.After(position) {
			position, control, ok = theirs, peer.lastMessage.Control, true
		}
	}
	return control, ok
}
