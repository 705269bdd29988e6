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
	peerIdleTime = clock.Second            // for which an idle connection to a peer is kept; an older one may be silent
	maxStateSize = 64 << 20                // maximum bytes of a peer's response
)

// peerClient calls the other entries.
var peerClient = &http.Client{Transport: &http.Transport{IdleConnTimeout: peerIdleTime.Duration(), DisableCompression: true}}

// pullState applies the newer state of the peer with the latest position, if any is ahead of this entry.
func (e *Entry) pullState(ctx context.Context) error {
	position := e.state.Position()
	control, ok := e.peers.Ahead(position, e.unreachable)
	if !ok {
		return nil
	}
	e.unreachable = ""
	err := e.pullFrom(ctx, control, position)
	if err != nil {
		e.unreachable = control
	}
	return err
}

// pullFrom applies what the peer with the control address has after a position.
func (e *Entry) pullFrom(ctx context.Context, control string, position store.Position) (err error) {
	defer func() { err = errors.Wrapf(err, "pull state from peer %s", control) }()
	var m stateMessage
	if err := getFromPeer(ctx, control, statePath+"?"+positionQuery(position).Encode(), &m); err != nil {
		return err
	}
	d := m.delta()
	if err := d.limit(e.state.retentionTimes); err != nil {
		return err
	}
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
	response, err := peerClient.Do(request)
	if err != nil {
		peerClient.CloseIdleConnections() // another one may be silent as well
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
	ShouldRead func(lost bool) bool              // reports whether this process reads the store; lost is true if its last store call failed
	Pull       func(ctx context.Context) error   // applies newer state of other processes
	Updates    <-chan struct{}                   // signals that another process may have newer state
	Notify     func()                            // announces newer state of this process, or a confirmation, to the others
	Readers    func(lost bool) (rank, count int) // place of this process among those that may read the store, and how many read it
	Settings   func() Settings
}

// pullInterval is the interval between two pulls if no update is signalled.
const pullInterval = 200 * clock.Millisecond

// FirstWait returns the wait in ms of this process's first watch after a change. Each reader waits for one interval longer
// than the one before it.
func (s PeerSync) FirstWait() clock.Span {
	rank, count := s.Readers(false)
	settings := s.Settings()
	return settings.firstWait() + settings.readerInterval()*clock.Span(min(rank, count-1))
}

// NextWait returns the wait in ms of the watch after one that brought no change; age is that of the state when that one
// ended. Waits are equal, so the readers keep their turns; one that ends too soon after another waits longer.
func (s PeerSync) NextWait(age clock.Span) clock.Span {
	_, count := s.Readers(false)
	interval := s.Settings().readerInterval()
	shift := min(max((interval-age)/2, -interval/2), interval/2)
	return interval*clock.Span(count) + shift
}

// checkAge returns the age of the state at which this process checks it against the store.
func (r *StoreReader) checkAge() clock.Span {
	rank, _ := r.Readers(r.Lost())
	return r.Settings().checkAge(rank)
}

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

// ShouldReadStore reports whether this entry is among the maxStoreReaders entries that read the store for all.
func (p *PeerSet) ShouldReadStore(lost bool, position store.Position) bool {
	rank, _ := p.StoreReaders(lost, position)
	return rank < maxStoreReaders
}

// StoreReaders returns this entry's place among all entries that may read the store, and how many of them read it. All
// entries rank the live ones in the same order, by a hash of the IP address, with those that can't reach the store last;
// lost says that this entry's last store call failed, position what it has read. Peers of an earlier release don't count
// for an entry that knows the store's era, because it can't follow them.
func (p *PeerSet) StoreReaders(lost bool, position store.Position) (rank, count int) {
	own := xxhash.Sum64String(p.ip)
	p.mu.Lock()
	defer p.mu.Unlock()
	count = 1
	for ip, peer := range p.peers {
		theirs := peer.lastMessage.position()
		followable := theirs.HasEra() || theirs.IsZero() || !position.HasEra()
		if !peer.alive || !followable {
			continue
		}
		precedes := xxhash.Sum64String(ip) < own
		if peer.lastMessage.Lost != lost {
			precedes = lost
		}
		if precedes {
			rank++
		}
		if peer.lastMessage.Lost == lost || lost {
			count++
		}
	}
	return rank, min(count, maxStoreReaders)
}

// Ahead returns the control address of the live peer with the latest position; ok is false if none is after position. The
// peer with the control address avoid is returned only if no other one is ahead.
func (p *PeerSet) Ahead(position store.Position, avoid string) (control string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := position
	for _, peer := range p.peers {
		theirs, theirControl := peer.lastMessage.position(), peer.lastMessage.Control
		if !peer.alive || !theirs.After(position) || (ok && theirControl == avoid) {
			continue
		}
		if !ok || control == avoid || theirs.After(latest) {
			latest, control, ok = theirs, theirControl, true
		}
	}
	return control, ok
}
