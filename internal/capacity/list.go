package capacity

import (
	"encoding/json"

	"carawaypick/internal/measure"
	"carawaypick/internal/platform"
	"carawaypick/internal/spread"
	"carawaypick/pkg/clock"
)

var listSizes = []int{100, 1000, 3000, 5900}

const (
	listZones   = 6
	listMembers = 2 // a reader of the list and a peer that hears of changes from it
	memoryBound = 32e6
)

// listRows measures what the list of instances costs a process in memory, and in time for each change.
func listRows() (rows []measure.Row) {
	rows = slope("list.memory", "bytes", "instance", listSizes, func(size int) float64 {
		content := encodedList(size)
		return held(func() any { return listed(content) }) / listMembers
	})
	last := rows[len(listSizes)-1]
	rows = append(rows, measure.AtMost(last.Name+".bound", last.Value, last.Unit, memoryBound))
	return append(rows, slope("list.change", "ns", "instance", listSizes, func(size int) float64 {
		w := listed(encodedList(size))
		return each(func(n int) { changeList(w, n) }) / listMembers
	})...)
}

func encodedList(size int) []byte {
	content, err := json.Marshal(spread.Fleet(1, size, listZones))
	if err != nil {
		panic(err) // the list is this function's own
	}
	return content
}

// listed returns a world of two members that know a list, besides the platform's own copy.
func listed(content []byte) *spread.World {
	l, _, err := platform.DecodeList(content)
	if err != nil {
		panic(err) // the list is this function's own
	}
	w := spread.Empty(&l, 1)
	for n := range listMembers {
		w.Start(n, l.Instances[n])
	}
	w.Run(3 * clock.Second)
	return w
}

// changeList lets one instance leave or return, and waits until both members know.
func changeList(w *spread.World, n int) {
	l := *w.Service.List
	l.Version++
	l.Instances = append([]platform.Instance(nil), l.Instances...)
	l.Instances[n%len(l.Instances)].State = []string{platform.Leaving, platform.Live}[n/len(l.Instances)%2]
	w.Service.List = &l
	known := func() bool {
		for _, m := range w.Members {
			if m.List().Version != l.Version {
				return false
			}
		}
		return true
	}
	w.RunUntil(clock.Minute, known)
}
