package choice

import (
	"container/heap"

	"carawaypick/pkg/clock"
)

// moment is a virtual time in ms.
type moment float64

// clock returns m in whole milliseconds.
func (m moment) clock() clock.Time {
	return clock.Time(m)
}

// loop runs events in the order of virtual time.
type loop struct {
	now    moment
	events eventHeap
	order  uint64
}

type event struct {
	at    moment
	order uint64
	run   func()
}

// after runs f when wait ms have passed.
func (l *loop) after(wait moment, f func()) {
	l.order++
	heap.Push(&l.events, event{at: l.now + wait, order: l.order, run: f})
}

// until runs events up to the end, which may leave some.
func (l *loop) until(end moment) {
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
	return h[i].order < h[j].order
}

func (h *eventHeap) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	(*h)[n] = event{}
	*h = (*h)[:n]
	return e
}
