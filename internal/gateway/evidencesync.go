package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log/level"

	"carawaypick/pkg/clock"
)

const (
	evidenceInterval = 500 * clock.Millisecond // between two comparisons of digests; shorter, news under way would be pulled too
	maxPullPause     = 64                      // comparisons between two pulls that tell nothing new, at most
)

// receiveEvidence merges the evidence in a peer's heartbeat. An entry without any pulls the peer's at once, since it has
// probably just started.
func (e *Entry) receiveEvidence(hb heartbeat) {
	if len(hb.Crashes) > 0 {
		e.mergeEvidence(evidence{Crashes: hb.Crashes, Completed: hb.Completed, CompletedParts: hb.CompletedParts}, hb.Name)
	}
	if e.suspects.digest() == 0 {
		wake(e.suspects.pullNow)
	}
}

// evidenceLoop pulls the evidence of peers whose digest differs.
func (e *Entry) evidenceLoop(ctx context.Context) error {
	ticker := time.NewTicker(evidenceInterval.Duration())
	defer ticker.Stop()
	var pacer pullPacer
	unreachable := "" // control address of the peer that the last pull failed at
	for {
		urgent := false
		select {
		case <-ctx.Done():
			return nil
		case <-e.suspects.pullNow:
			urgent = true
		case <-ticker.C:
		}
		own := e.suspects.digest()
		control, other := e.peers.WithOtherEvidence(own, unreachable)
		due := pacer.due(own, other)
		if other == 0 || (!due && !urgent) {
			continue
		}
		unreachable = ""
		if err := e.pullEvidence(ctx, control); err != nil {
			unreachable = control
			level.Warn(e.limitedLogger.Logger).Log("msg", "evidence of crashes not pulled from a peer, trying again", "error", err)
			continue
		}
		pacer.pulled(own != e.suspects.digest())
	}
}

// pullPacer spaces out the pulls of evidence. Digests that differ only for one check are left to the heartbeats, and
// entries that can't agree, because one of them holds no more crashes, pull less and less often until either has news.
type pullPacer struct {
	own, other uint64 // digests at the last check
	pause      int    // checks between two pulls, 0 for the first
	wait       int    // checks until the next pull
}

// due reports whether to pull now; other is a peer's digest, 0 if none differs from own.
func (p *pullPacer) due(own, other uint64) bool {
	if other == 0 || own != p.own || other != p.other {
		*p = pullPacer{own: own, other: other}
		return false
	}
	p.wait--
	return p.wait < 0
}

// pulled records whether a pull told anything new.
func (p *pullPacer) pulled(news bool) {
	if !news {
		p.pause = min(max(2*p.pause, 1), maxPullPause)
		p.wait = p.pause
	}
}

// pullEvidence adds the evidence of the peer at a control address.
func (e *Entry) pullEvidence(ctx context.Context, control string) (err error) {
	defer func() { err = errors.Wrapf(err, "pull evidence from peer %s", control) }()
	var v evidence
	if err := getFromPeer(ctx, control, evidencePath, &v); err != nil {
		return err
	}
	v.limit()
	e.mergeEvidence(v, "peer "+control)
	return nil
}

// mergeEvidence adds the evidence of another entry; source names it in log lines.
func (e *Entry) mergeEvidence(v evidence, source string) {
	view := e.state.View()
	for _, r := range e.suspects.merge(v) {
		e.logCrash(r, source)
		id, _, _ := strings.Cut(r.ID, "/")
		if s := view.Servers[id]; s != nil && view.Config != nil && crashID(s) == r.ID {
			e.loads.RecordCold(id, restartTime+view.Config.Services[s.Service].ColdTime-r.Age)
		}
	}
}

// WithOtherEvidence returns the control address and the digest of the first live peer, by IP address, whose digest of the
// evidence of crashes differs from own; other is 0 if there is none. The peer with the control address avoid comes last.
func (p *PeerSet) WithOtherEvidence(own uint64, avoid string) (control string, other uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := ""
	for ip, peer := range p.peers {
		differs := peer.alive && peer.lastMessage.Evidence != 0 && peer.lastMessage.Evidence != own
		if !differs || (other != 0 && peer.lastMessage.Control == avoid) {
			continue
		}
		if other == 0 || ip < first || control == avoid {
			first, control, other = ip, peer.lastMessage.Control, peer.lastMessage.Evidence
		}
	}
	return control, other
}
