package spread

import (
	"container/heap"
	"math/rand/v2"

	"carawaypick/internal/member"
	"carawaypick/internal/platform"
)

// One way delays between processes in microseconds, each with the time to handle a message.
const (
	delayZone   = 300    // within an availability zone
	delayZones  = 1_700  // between the zones of a region
	delayRegion = 15_000 // between two regions
)

// Graph holds the neighbours of each member of a fleet by their places in the list.
type Graph struct {
	List  *platform.List
	Edges [][]int
}

// NewGraph returns the graph along which the members of a list push news.
func NewGraph(l *platform.List) *Graph {
	place := make(map[string]int, len(l.Instances))
	for n, i := range l.Instances {
		place[i.Name] = n
	}
	g := &Graph{List: l, Edges: make([][]int, len(l.Instances))}
	for n, i := range l.Instances {
		for _, to := range member.Neighbours(i, l, member.NeighbourCount) {
			g.Edges[n] = append(g.Edges[n], place[to.Name])
		}
	}
	return g
}

// Flood is how far pushes alone carry news.
type Flood struct {
	Reached int     // members that hear the news
	Rounds  int     // most pushes in a row on the way to one of them
	Last    float64 // ms until the last of them hears
}

// arrival is news on its way to a member.
type arrival struct {
	at    int // us
	round int
	to    int
}

// arrivals is a heap of news on its way, earliest first.
type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// Push spreads news from one member along the graph, where each push is lost with a probability.
func (g *Graph) Push(from int, loss float64, random *rand.Rand) (f Flood) {
	heard := make([]bool, len(g.Edges))
	queue := &arrivals{{to: from}}
	for queue.Len() > 0 {
		a := heap.Pop(queue).(arrival)
		if heard[a.to] {
			continue
		}
		heard[a.to] = true
		f.Reached++
		f.Rounds = max(f.Rounds, a.round)
		f.Last = float64(a.at) / 1000
		for _, to := range g.Edges[a.to] {
			if random.Float64() >= loss {
				heap.Push(queue, arrival{at: a.at + g.delay(a.to, to), round: a.round + 1, to: to})
			}
		}
	}
	return f
}

func (g *Graph) delay(from, to int) int {
	a, b := &g.List.Instances[from], &g.List.Instances[to]
	switch {
	case a.Zone == b.Zone:
		return delayZone
	case a.Region == b.Region:
		return delayZones
	}
	return delayRegion
}
