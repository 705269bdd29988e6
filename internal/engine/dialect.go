package engine

import (
	"context"

	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// Report is what an engine says of itself.
type Report struct {
	Group   string // empty where the engine is not a rank of a group
	Rank    int
	Size    int // ranks of the group
	Born    int64
	Pace    float64 // above 1 where the engine is slow
	Running int
	Waiting int
	expert.Standing
}

// Counts is how often each expert was chosen by an engine's requests since its start.
type Counts struct {
	Epoch int64
	Sets  [][]int64 // by set of layers and expert
}

// Lists are the experts that a rank holds.
type Lists struct {
	Version int64
	Sets    [][]int // by set of layers
}

// Shape is what the configuration says of a group's expert maps.
type Shape struct {
	Sets     int
	Experts  int // a set
	Places   int // experts that a rank holds a set, at most
	Spare    int // new experts that one map may bring to a rank and set
	ExpertMB int64
	LinkMbps int64
}

// Dialect translates between the product and the engines.
type Dialect struct {
	Report func(ctx context.Context, address string) (Report, error)
	Counts func(ctx context.Context, address string, shape Shape) (Counts, error)
	Lists  func(ctx context.Context, address string) (Lists, error)
	Order  func(ctx context.Context, address string, c expert.Command) (expert.Reply, error)
}

// Member is the process beside a rank, as the entries know it.
type Member struct {
	Rank   int
	IP     string
	Engine string
}

// Roster is the group of an engine, as an entry knows it.
type Roster struct {
	Members []Member
	Shape   Shape
}

// settle is the time in ms that one call to an engine may take.
const settle = 400 * clock.Millisecond
