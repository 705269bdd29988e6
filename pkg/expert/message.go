package expert

// Kinds of a message of the switch.
const (
	Load    = "load"    // planner to rank: fetch the weights of a map
	Loaded  = "loaded"  // rank to planner: the weights are there
	Prepare = "prepare" // planner to rank: promise to use a map from a step on
	Promise = "promise" // rank to planner: won't begin that step undecided
	Refuse  = "refuse"  // rank to planner: never promised this order and never will
	Commit  = "commit"  // planner to rank: all have promised
	Abort   = "abort"   // planner to rank: one has refused
	Ask     = "ask"     // rank to rank: what do you know
	Tell    = "tell"    // rank to rank: the answer to an ask
	Join    = "join"    // cold rank to rank: the state from which all go on with it
)

// Fence is the fencing number of an order: the ticket's number, then the planner's epoch.
type Fence struct {
	Number uint64 `json:"number"`
	Epoch  uint64 `json:"epoch"`
}

// Less says whether f is lower than g.
func (f Fence) Less(g Fence) bool {
	if f.Number != g.Number {
		return f.Number < g.Number
	}
	return f.Epoch < g.Epoch
}

// Generation names a membership of the group; it changes whenever a cold rank joins.
type Generation struct {
	Count uint64 `json:"count"`
	Mark  uint64 `json:"mark"` // random, so that two lives of a group never share one
}

// Use is a map and the first step that uses it.
type Use struct {
	Fence Fence  `json:"fence"`
	Step  uint64 `json:"step"`
	Map   Map    `json:"map"`
}

// View is what one rank knows.
type View struct {
	Cold       bool       `json:"cold,omitempty"` // it knows nothing, the rest is empty
	Generation Generation `json:"generation"`
	Step       uint64     `json:"step"`    // the newest step that it has begun
	Highest    Fence      `json:"highest"` // no order up to this one will be promised any more
	Now        Use        `json:"now"`
	Next       *Use       `json:"next,omitempty"`    // committed and not yet in force
	Promise    *Use       `json:"promise,omitempty"` // promised and undecided
}

// Message is one message of the switch between a planner and the ranks or between ranks.
type Message struct {
	Kind       string     `json:"kind"`
	From       string     `json:"from"`
	Generation Generation `json:"generation"`
	Fence      Fence      `json:"fence"`
	Step       uint64     `json:"step,omitempty"`
	Map        Map        `json:"map,omitempty"`
	Token      uint64     `json:"token,omitempty"` // the sender's own mark, to be echoed
	Echo       uint64     `json:"echo,omitempty"`  // the token of the message that this one answers
	View       *View      `json:"view,omitempty"`
}

// Envelope is a message to be sent to one process.
type Envelope struct {
	To      string
	Message Message
}
