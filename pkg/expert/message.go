package expert

// Kinds of switch messages.
const (
	KindLoad       = "load"    // planner to rank: load the weights of a map
	KindLoaded     = "loaded"  // rank to planner: the weights are loaded
	KindPrepare    = "prepare" // planner to rank: asks the rank to promise to use a map from a given step
	KindPromise    = "promise" // rank to planner: the rank does not begin the proposed step before the outcome is known
	KindRefuse     = "refuse"  // rank to planner: this rank has not promised the proposal and never will
	KindCommit     = "commit"  // planner to rank: all ranks have promised
	KindAbort      = "abort"   // planner to rank: a rank has refused
	KindQuery      = "ask"     // rank to rank: asks for the view of the recipient
	KindQueryReply = "tell"    // rank to rank: reply to a query
	KindJoin       = "join"    // joining rank to rank: the state of the generation that the joining rank starts
)

// Fence is the fencing token of a proposal, ordered by ticket number, then by planner epoch.
type Fence struct {
	Number uint64 `json:"number"`
	Epoch  uint64 `json:"epoch"`
}

// Less reports whether f is lower than g.
func (f Fence) Less(g Fence) bool {
	if f.Number != g.Number {
		return f.Number < g.Number
	}
	return f.Epoch < g.Epoch
}

// Generation identifies a membership of the group; it changes whenever a cold rank joins.
type Generation struct {
	Count uint64 `json:"count"`
	Nonce uint64 `json:"mark"` // random, so that two incarnations of a group never share a generation
}

// Activation is a map with its fencing token and the first step that uses it.
type Activation struct {
	Fence Fence  `json:"fence"`
	Step  uint64 `json:"step"`
	Map   Map    `json:"map"`
}

// View is the switch state of one rank.
type View struct {
	Cold       bool        `json:"cold,omitempty"` // has not joined yet; the other fields are empty
	Generation Generation  `json:"generation"`
	Step       uint64      `json:"step"`    // newest step that the rank has begun
	Highest    Fence       `json:"highest"` // the rank makes no new promise for proposals up to this fence
	Current    Activation  `json:"now"`
	Next       *Activation `json:"next,omitempty"`    // committed, not in use yet
	Promised   *Activation `json:"promise,omitempty"` // promised, outcome unknown
}

// Message is a switch message between a planner and a rank or between two ranks.
type Message struct {
	Kind       string     `json:"kind"`
	From       string     `json:"from"`
	Generation Generation `json:"generation"`
	Fence      Fence      `json:"fence"`
	Step       uint64     `json:"step,omitempty"`
	Map        Map        `json:"map,omitempty"`
	Token      uint64     `json:"token,omitempty"` // identifies a query, or a reply to a cold rank, whose join message returns it in Token
	Echo       uint64     `json:"echo,omitempty"`  // token of the message that this one answers
	View       *View      `json:"view,omitempty"`
}

// Envelope is a message with its recipient.
type Envelope struct {
	To      string
	Message Message
}
