package clustersim

import (
	"container/heap"
	"math/rand/v2"

	"carawaypick/internal/gossip"
	"carawaypick/internal/platform"
)

// One-way delays between processes in microseconds, including the handling of a message.
const (
	sameZoneDelayUs    = 300    // within an availability zone
	sameRegionDelayUs  = 1_700  // between the zones of a region
	crossRegionDelayUs = 15_000 // between two regions
)

// Graph contains the neighbours of each member, as indexes into the instance list.
type Graph struct {
	List  *platform.List
	Edges [][]int
}

// NewGraph returns the graph along which the members of a list push updates.
func NewGraph(l *platform.List) *Graph {
	position := make(map[string]int, len(l.Instances))
	for n, i := range l.Instances {
		position[i.Name] = n
	}
	g := &Graph{List: l, Edges: make([][]int, len(l.Instances))}
	for n, i := range l.Instances {
		for _, to := range gossip.Neighbours(i, l, gossip.NeighbourCount) {
			g.Edges[n] = append(g.Edges[n], position[to.Name])
		}
	}
	return g
}

// PushResult describes how far an update spreads by pushes alone.
type PushResult struct {
	Reached int     // members that have the update, including the first
	Hops    int     // largest number of pushes in a row that delivered the update to a member
	LastMs  float64 // time in ms until the last reached member has the update
}

// arrival is a push on its way to a member.
type arrival struct {
	atUs int
	hops int
	to   int
}

// arrivalHeap orders pushes by arrival, earliest first.
type arrivalHeap []arrival

func (a arrivalHeap) Len() int           { return len(a) }
func (a arrivalHeap) Less(i, j int) bool { return a[i].atUs < a[j].atUs }
func (a arrivalHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivalHeap) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivalHeap) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// Push spreads an update from one member along the graph, where each push is lost with probability lossRate.
func (g *Graph) Push(from int, lossRate float64, random *rand.Rand) (f PushResult) {
	reached := make([]bool, len(g.Edges))
	queue := &arrivalHeap{{to: from}}
	for queue.Len() > 0 {
		a := heap.Pop(queue).(arrival)
		if reached[a.to] {
			continue
		}
		reached[a.to] = true
		f.Reached++
		f.Hops = max(f.Hops, a.hops)
		f.LastMs = float64(a.atUs) / 1000
		for _, to := range g.Edges[a.to] {
			if random.Float64() >= lossRate {
				heap.Push(queue, arrival{atUs: a.atUs + g.delayUs(a.to, to), hops: a.hops + 1, to: to})
			}
		}
	}
	return f
}

func (g *Graph) delayUs(from, to int) int {
	a, b := &g.List.Instances[from], &g.List.Instances[to]
	switch {
	case a.Zone == b.Zone:
		return sameZoneDelayUs
	case a.Region == b.Region:
		return sameRegionDelayUs
	}
	return crossRegionDelayUs
}
