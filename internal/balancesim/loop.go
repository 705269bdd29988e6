package balancesim

import (
	"container/heap"

	"carawaypick/pkg/clock"
)

// simTime is a virtual time or duration in ms.
type simTime float64

// clock returns m truncated to whole milliseconds.
func (m simTime) clock() clock.Time {
	return clock.Time(m)
}

// eventLoop runs events in order of virtual time, and events of the same time in order of scheduling.
type eventLoop struct {
	now          simTime
	events       eventHeap
	lastSequence uint64
}

type event struct {
	at       simTime
	sequence uint64
	run      func()
}

// after schedules run to be called after delay.
func (l *eventLoop) after(delay simTime, run func()) {
	l.lastSequence++
	heap.Push(&l.events, event{at: l.now + delay, sequence: l.lastSequence, run: run})
}

// runUntil runs all events that are due at or before end.
func (l *eventLoop) runUntil(end simTime) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h *eventHeap) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	(*h)[n] = event{}
	*h = (*h)[:n]
	return e
}
