package engine

import (
	"context"

	"carawaypick/pkg/clock"
	"carawaypick/pkg/expert"
)

// Report is the state that an engine reports.
type Report struct {
	Group     string // empty if the engine is not a rank of a group
	Rank      int
	GroupSize int     // number of ranks of the group
	StartedAt int64   // start time of the engine, which identifies its incarnation
	Slowdown  float64 // above 1 if the engine is slow
	Running   int     // requests in progress
	Waiting   int     // requests in the queue
	expert.RankStatus
}

// Counts is the number of tokens that an engine has routed to each expert since its start.
type Counts struct {
	Epoch int64     // incarnation of the group
	Sets  [][]int64 // by set of layers and expert
}

// Placement is the placement of experts on one rank.
type Placement struct {
	Version int64   // version of the map in use
	Sets    [][]int // numbers of the experts, by set of layers
}

// Shape is the configuration of a group's expert maps. The layers of a set share one placement of their experts. Entries
// send it to agents, so a renamed field has a tag with its name on the wire.
type Shape struct {
	Sets         int   // sets of layers
	Experts      int   // per set
	SlotsPerRank int   `msgpack:"Places"` // expert slots per rank and set
	MaxAdded     int   `msgpack:"Spare"`  // experts that one map may add per rank and set
	ExpertMB     int64 // size of one expert in MiB
	LinkMbps     int64 // throughput of the link that experts are copied over, in Mbit/s
}

// Client calls engines by their address. A command may be carried out even if SendCommand fails.
type Client struct {
	Report      func(ctx context.Context, address string) (Report, error)
	Counts      func(ctx context.Context, address string, shape Shape) (Counts, error)
	Placement   func(ctx context.Context, address string) (Placement, error)
	SendCommand func(ctx context.Context, address string, c expert.Command) (expert.Reply, error)
}

// Member is a rank of a group with the address of its agent.
type Member struct {
	Rank   int
	IP     string // IP address of the agent
	Engine string // address of the engine
}

// MemberList is the member list of an engine's group, with the shape of its maps, as an entry returns it.
type MemberList struct {
	Members     []Member
	Shape       Shape
	Coordinated bool // coordinated admission is on for the deployment; false also from entries that do not know it
}

const (
	engineTimeout       = 400 * clock.Millisecond // time limit of one call to an engine
	localPrepareTimeout = 60 * clock.Millisecond  // time limit of one try of a prepare command at the local engine, which answers within a few ms
)
