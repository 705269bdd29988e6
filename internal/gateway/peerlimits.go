package gateway

import (
	"math"
	"net"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/routing"
	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

// Limits of what a peer may say. Peers of other releases send other values, and a number out of range would hold for ever: an
// age below 0 is a time in the future.
const (
	maxPeerAge    = clock.Hour        // of anything in a message
	maxPeerCost   = 10 * clock.Second // that a request adds to a pass
	maxPeerRate   = 1e6               // requests per second of one backend server
	maxPeerCores  = 1 << 12           // of one entry
	maxPeerNumber = routing.MaxStart  // of eras, revisions, versions and start times
)

// limit returns an error if the heartbeat doesn't tell who sent it, and brings its other values into their limits.
func (hb *heartbeat) limit() (err error) {
	if len(hb.Name) > routing.MaxNameBytes || len(hb.Zone) > routing.MaxNameBytes {
		return errors.Newf("heartbeat has a name of %d and a zone of %d bytes", len(hb.Name), len(hb.Zone))
	}
	if net.ParseIP(hb.IP) == nil {
		return errors.Newf("heartbeat of %.32q has the address %.64q", hb.Name, hb.IP)
	}
	for _, n := range []int64{hb.Born, hb.Era, hb.Revision, hb.Version} {
		if n < 0 || n > maxPeerNumber {
			return errors.Newf("heartbeat of %.32q has the number %d", hb.Name, n)
		}
	}
	if !isAddress(hb.Front) || !isAddress(hb.Control) {
		return errors.Newf("heartbeat of %.32q has the addresses %.64q and %.64q", hb.Name, hb.Front, hb.Control)
	}
	for id, count := range hb.Flights {
		if count <= 0 || count > routing.MaxSlots {
			delete(hb.Flights, id)
		}
	}
	for service, cost := range hb.Costs {
		if !(cost > 0 && cost <= float64(maxPeerCost)) {
			delete(hb.Costs, service)
		}
	}
	hb.Rates = keep(hb.Rates, func(r *rateReport) bool {
		return limitAge(&r.Age) && r.Rate >= 0 && r.Rate <= maxPeerRate
	})
	hb.Taking = keep(hb.Taking, func(r *recoveredReport) bool { return limitAge(&r.Age) })
	hb.Known = keep(hb.Known, func(r *peerAge) bool { return limitAge(&r.Age) && net.ParseIP(r.IP).To4() != nil })
	hb.Heard = keep(hb.Heard, func(r *heardPeer) bool { return limitAge(&r.Age) })
	v := evidence{Crashes: hb.Crashes, Completed: hb.Completed, CompletedParts: hb.CompletedParts}
	v.limit()
	hb.Crashes, hb.Completed, hb.CompletedParts = v.Crashes, v.Completed, v.CompletedParts
	if !limitAge(&hb.Confirmed.Age) {
		hb.Confirmed = confirmation{}
	}
	if !(hb.Cores >= 0 && hb.Cores <= maxPeerCores) || math.IsNaN(hb.Cores) {
		hb.Cores = 0
	}
	return nil
}

// limit brings the ages of the evidence into their limits.
func (v *evidence) limit() {
	v.Crashes = keep(v.Crashes, func(r *crashReport) bool { return limitAge(&r.Age) && len(r.ID) <= 2*routing.MaxNameBytes })
	v.Completed = keep(v.Completed, func(r *completion) bool { return limitAge(&r.Age) })
	v.CompletedParts = keep(v.CompletedParts, func(r *completion) bool { return limitAge(&r.Age) })
}

// limit returns an error if the delta has a position that no store has, and brings its other values into their limits: a peer's
// grace and retained records hold no longer than this process's own.
func (d *Delta) limit(times retentionTimes) (err error) {
	positions := []store.Position{d.Position}
	for _, c := range d.Changes {
		positions = append(positions, c.Position)
	}
	for _, r := range d.Retained {
		positions = append(positions, r.Position, r.Over)
	}
	for _, p := range positions {
		if era, revision := p.Numbers(); era < 0 || revision < 0 || era > maxPeerNumber || revision > maxPeerNumber {
			return errors.Newf("state of a peer has the era %d and the revision %d", era, revision)
		}
	}
	d.Lapse = min(max(d.Lapse, 0), outageGrace)
	for i := range d.Retained {
		d.Retained[i].Remaining = min(max(d.Retained[i].Remaining, 0), max(times.server, times.evacuation))
	}
	return nil
}

// limitAge reports whether the age is one, and shortens a long one.
func limitAge(age *clock.Span) bool {
	*age = min(*age, maxPeerAge)
	return *age >= 0
}

// keep returns the reports that are within their limits.
func keep[T any](reports []T, within func(*T) bool) (kept []T) {
	for _, r := range reports {
		if within(&r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// isAddress reports whether a text is a host with a port; an entry may have none of the kind.
func isAddress(text string) bool {
	_, _, err := net.SplitHostPort(text)
	return text == "" || (err == nil && len(text) <= routing.MaxNameBytes)
}
