package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"carawaypick/internal/directory"
	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

const (
	joinTimeout      = clock.Second             // for a starting entry to learn the newest configuration of its peers
	configRetryPause = 100 * clock.Millisecond  // after a failed pull of a newer configuration
	configPullPause  = clock.Second             // after a pull that brought no newer configuration, since the peer has not noticed a restore
	coldStartWait    = 2 * clock.Second         // longest wait of a request for a configuration that no peer knows yet, after a start of many entries
	countTime        = 1500 * clock.Millisecond // within which an entry that starts has heard of all others
	configPoll       = 10 * clock.Millisecond   // between two checks whether the configuration that a peer knows has arrived
	greetInterval    = 50 * clock.Millisecond   // least interval between two heartbeats sent early because a peer starts
)

// catchUpLoop pulls configurations that peers know and the store does not hold, as after a restore from a copy. Until this
// entry has joined, it also pulls what one peer that serves retains.
func (e *Entry) catchUpLoop(ctx context.Context) error {
	start := e.clock.Now()
	timeout := time.NewTimer(joinTimeout.Duration())
	defer timeout.Stop()
	var retry <-chan time.Time
	joining, learned, timedOut := true, false, false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timeout.C:
			timedOut = true
		case <-retry:
		case <-e.peers.Heard:
		}
		retry = nil
		pulled, err := e.pullNewerConfig(ctx, joining)
		control, serving := e.peers.Serving()
		if joining && serving && !learned && err == nil {
			err = e.pullFrom(ctx, control, e.state.Position()) // what peers retain may be missing in the store
			learned = err == nil
		}
		switch {
		case err != nil:
			level.Warn(e.limitedLogger.Logger).Log("msg", "state not pulled from a peer, trying again", "error", err)
			retry = time.After(configRetryPause.Duration())
		case pulled:
			retry = time.After(configPullPause.Duration())
		}
		version := e.state.ConfigVersion()
		if joining && (timedOut || (e.peers.CaughtUp(version) && (learned || !serving))) {
			joining = false
			close(e.joined)
			level.Info(logAt(e.limitedLogger.Logger, e.state.Position())).Log("msg", "joined", "version", version, "waited", e.clock.Since(start), "timeout", timedOut)
		}
	}
}

// pullNewerConfig applies the state of a peer with a newer configuration, and reports whether there is any. Unless this
// entry is joining it leaves out peers that are ahead, since their changes are on the way from the store or from a peer.
func (e *Entry) pullNewerConfig(ctx context.Context, joining bool) (pulled bool, err error) {
	position := e.state.Position()
	limit := position
	if joining || e.state.ConfigVersion() == 0 {
		limit = store.Latest
	}
	control, ok := e.peers.WithNewerConfig(e.state.ConfigVersion(), limit, e.configUnreachable)
	if !ok {
		return false, nil
	}
	e.configUnreachable = ""
	if err = e.pullFrom(ctx, control, position); err != nil {
		e.configUnreachable = control
	}
	return true, err
}

// hasJoined reports whether the entry has learned from its peers what it must know to serve.
func (e *Entry) hasJoined() bool {
	select {
	case <-e.joined:
		return true
	default:
		return false
	}
}

// reasonNoConfig is the reason of the rejection of a request before a configuration is known.
const reasonNoConfig = "no configuration is known"

// waitForConfig waits until a configuration is known if a live peer knows one, since this entry pulls it. It waits at most
// joinTimeout and a third of the caller's time, so that the caller can still go elsewhere. Where there are many entries, or this
// one starts and may not have heard of all yet, it waits for the store as well, at most coldStartWait: after a power loss most
// callers have used up their retries, and the store answers soon after the entries have started.
func (e *Entry) waitForConfig(c *call) {
	if e.state.View().Config != nil {
		return
	}
	limit := coldStartWait
	if c.Timeout > 0 {
		limit = min(limit, c.Timeout/3)
	}
	ctx, cancel := withDeadline(c.request.Context(), e.clock, c.start.Add(limit))
	defer cancel()
	for e.state.View().Config == nil && ctx.Err() == nil {
		_, known := e.peers.WithNewerConfig(0, store.Latest, "")
		many := e.peers.Entries().Known > directory.MaxAddresses || e.clock.Since(e.peers.start) < countTime
		if !many && (!known || e.clock.Since(c.start) >= joinTimeout) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(configPoll.Duration()):
		}
	}
}

// noConfigRetryAfter returns the Retry-After in ms of a caller that is rejected before a configuration is known. Where there
// are many entries, their callers come back apart.
func (e *Entry) noConfigRetryAfter(c *call) clock.Span {
	if e.peers.Entries().Known <= directory.MaxAddresses {
		return noConfigRetryAfter
	}
	left := clock.Span(0)
	if c.Timeout > 0 {
		left = max(c.Timeout-e.clock.Since(c.start), 1)
	}
	return directory.ColdRetryAfter(left, rand.Float64())
}

// WithNewerConfig returns the control address of the live peer with the latest version of the configuration among those
// whose position is not after limit; ok is false if none is above version. The peer with the control address avoid is
// returned only if no other one is above.
func (p *PeerSet) WithNewerConfig(version int64, limit store.Position, avoid string) (control string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	latest := version
	for _, peer := range p.peers {
		m := peer.lastMessage
		if !peer.alive || m.Version <= version || m.position().After(limit) || (ok && m.Control == avoid) {
			continue
		}
		if !ok || control == avoid || m.Version > latest {
			latest, control, ok = m.Version, m.Control, true
		}
	}
	return control, ok
}

// Serving returns the control address of a live peer that serves callers; ok is false if there is none.
func (p *PeerSet) Serving() (control string, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		if peer.alive && peer.lastMessage.Ready {
			return peer.lastMessage.Control, true
		}
	}
	return "", false
}

// CaughtUp reports whether version is the latest that any live peer knows, and enough peers told theirs: one that serves,
// or all seeds, since none may be ready while all start.
func (p *PeerSet) CaughtUp(version int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	served := false
	for _, peer := range p.peers {
		if peer.alive && peer.lastMessage.Version > version {
			return false
		}
		served = served || (peer.alive && peer.lastMessage.Ready)
	}
	for _, ip := range p.seeds {
		if peer := p.peers[ip]; !served && (peer == nil || !peer.alive || peer.lastMessage.Version == 0) {
			return false
		}
	}
	return version > 0
}

// greet sends the next heartbeat early, and to ip first of all, because that peer has just started; mu is held.
func (p *PeerSet) greet(ip string, now clock.Time) {
	if now.Sub(p.lastGreeting) < greetInterval {
		return
	}
	p.lastGreeting = now
	p.pending = append([]string{ip}, p.pending...)
	wake(p.sendNow)
}
