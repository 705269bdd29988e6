package balance

import "carawaypick/pkg/clock"

const (
	firstTurnAwayPause  = 50 * clock.Millisecond  // after a rejection that names no time, and after each one of a server that is busy: it may be full for a moment
	busyTurnAwayPause   = 400 * clock.Millisecond // after further ones, while the server runs requests of other entries
	turnAwayPause       = 400 * clock.Millisecond // after further ones, multiplied by the entries, which all try the server
	maxTurnAwayPause    = 5 * clock.Second        // short requests of others at a server that is back are hardly ever seen
	rejectionReportTime = 50 * clock.Millisecond  // within which reports of rejections are taken for one
	trialTimeout        = 300 * clock.Millisecond // without an answer after which the server counts as having accepted the request that tries it
)

// TurnAway tracks how one backend server turns requests away. A server that rejects requests at once has nothing in flight
// and would be chosen first, so it is closed for a time, and then one request tries it.
type TurnAway struct {
	askedUntil  clock.Time // end of the time for which the server asked for no requests
	closedUntil clock.Time // end of the pause after a rejection that names no time
	busyUntil   clock.Time // end of that pause while the server runs requests of other entries
	rejections  int        // since the last answer to a request that was sent after them
	rejectedAt  clock.Time // time of the last rejection
	triedAt     clock.Time // time of the request that tries the server, 0 for none
	answeredAt  clock.Time // time of the last request that the server took
	ownAt       clock.Time // time of the last rejection of a request of this entry that names no time
}

// Reject records a rejection that asks for no requests for the given ms, 0 if it names no time, by a server that the given
// number of entries use. A busy server runs other requests.
func (a *TurnAway) Reject(now clock.Time, wait clock.Span, entries int, busy bool) {
	a.rejections++
	if busy {
		a.rejections = 1
	}
	a.rejectedAt, a.triedAt = now, 0
	if wait > 0 {
		a.askedUntil = max(a.askedUntil, now.Add(wait))
		return
	}
	a.ownAt = now
	a.pause(now, entries)
}

// pause closes the server for a time after a rejection.
func (a *TurnAway) pause(now clock.Time, entries int) {
	if a.rejections == 1 {
		a.closedUntil, a.busyUntil = now.Add(firstTurnAwayPause), now.Add(firstTurnAwayPause)
		return
	}
	a.busyUntil = now.Add(busyTurnAwayPause)
	a.closedUntil = now.Add(min(turnAwayPause*clock.Span(max(entries, 1)), maxTurnAwayPause))
}

// Answer records that the server took a request that was sent at sentAt, and reports whether it had rejected the last one.
func (a *TurnAway) Answer(sentAt clock.Time) (recovered bool) {
	a.answeredAt = max(a.answeredAt, sentAt)
	if sentAt < a.rejectedAt || a.rejections == 0 {
		return false
	}
	a.rejections, a.triedAt = 0, 0
	return true
}

// Rejected returns the time of the last rejection of a request of this entry that names no time; ok is false if the server has
// taken a request since.
func (a *TurnAway) Rejected() (at clock.Time, ok bool) {
	return a.ownAt, a.ownAt > 0 && a.answeredAt < a.ownAt
}

// HearRejection records that the server rejected a request of another entry at the given time and has taken none of that entry
// since. The reports of one rejection differ by the time that they were under way.
func (a *TurnAway) HearRejection(now, at clock.Time, entries int, busy bool) {
	if at <= a.answeredAt || at < a.rejectedAt.Add(rejectionReportTime) {
		return
	}
	a.rejections++
	if busy {
		a.rejections = 1
	}
	a.rejectedAt = at
	a.pause(now, entries)
}

// Recover records that the server took a request of another entry at the given time, so that it may be tried at once.
func (a *TurnAway) Recover(at clock.Time) {
	if at > a.rejectedAt {
		a.closedUntil, a.busyUntil = 0, 0
	}
}

// Send records a request to the server.
func (a *TurnAway) Send(now clock.Time) {
	if a.rejections > 0 {
		a.triedAt = now
	}
}

// AskedUntil returns the end of the time for which the server asked for no requests; ok is false if it is over.
func (a *TurnAway) AskedUntil(now clock.Time) (until clock.Time, ok bool) {
	return a.askedUntil, now < a.askedUntil
}

// Closed reports whether the server gets no request now, since it rejected the last ones and is not tried again yet or is
// being tried. It is tried earlier if it is busy with requests of other entries, and so takes some.
func (a *TurnAway) Closed(now clock.Time, busy bool) bool {
	if a.rejections == 0 {
		return false
	}
	until := a.closedUntil
	if busy {
		until = a.busyUntil
	}
	return now < until || (a.triedAt > 0 && now.Sub(a.triedAt) < trialTimeout)
}
