package capacity

import (
	"encoding/json"

	"carawaypick/internal/clustersim"
	"carawaypick/internal/measure"
	"carawaypick/internal/platform"
	"carawaypick/pkg/clock"
)

var listSizes = []int{100, 1000, 3000, 5900}

const (
	listZones         = 6
	listMembers       = 2 // a reader of the list and a peer that receives changes from it
	memoryTargetBytes = 32e6
)

// listRows measures the memory of the instance list in a process and the time to process a change.
func listRows() (rows []measure.Row) {
	rows = slopeRows("list.memory", "bytes", "instance", listSizes, func(size int) float64 {
		content := encodedList(size)
		return retainedBytes(func() any { return newListCluster(content) }) / listMembers
	})
	last := rows[len(listSizes)-1]
	rows = append(rows, measure.AtMost(last.Name+".bound", last.Value, last.Unit, memoryTargetBytes))
	return append(rows, slopeRows("list.change", "ns", "instance", listSizes, func(size int) float64 {
		c := newListCluster(encodedList(size))
		return timePerRun(func(n int) { changeList(c, n) }) / listMembers
	})...)
}

func encodedList(size int) []byte {
	content, err := json.Marshal(clustersim.NewInstanceList(1, size, listZones))
	if err != nil {
		panic(err) // the list is generated here and valid
	}
	return content
}

// newListCluster returns a cluster whose listMembers members have received a list; the simulated platform keeps the list too.
func newListCluster(content []byte) *clustersim.Cluster {
	l, _, err := platform.DecodeList(content)
	if err != nil {
		panic(err) // the list is generated here and valid
	}
	c := clustersim.NewEmptyCluster(&l, 1)
	for n := range listMembers {
		c.StartMember(n, l.Instances[n])
	}
	c.Run(3 * clock.Second)
	return c
}

// changeList changes the state of one instance and waits until all members have received the change.
func changeList(c *clustersim.Cluster, n int) {
	list := *c.Platform.List
	list.Version++
	list.Instances = append([]platform.Instance(nil), list.Instances...)
	list.Instances[n%len(list.Instances)].State = []string{platform.StateLeaving, platform.StateLive}[n/len(list.Instances)%2]
	c.Platform.List = &list
	updated := func() bool {
		for _, m := range c.Members {
			if m.List().Version != list.Version {
				return false
			}
		}
		return true
	}
	c.RunUntil(clock.Minute, updated)
}
