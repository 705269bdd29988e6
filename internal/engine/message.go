package engine

import "carawaypick/pkg/expert"

// message is a UDP message between the agents of a group, or between an agent and an entry; one field is set.
// The field names of an encoded struct are part of the protocol, so a renamed field has a tag with its name on the wire.
type message struct {
	MembersOf    string      `msgpack:"Ask"`        // to an entry: address of the engine whose group is requested
	Group        string      `msgpack:"AskGroup"`   // to an entry: group of the engine by its own report, empty if it was not read yet
	Service      string      `msgpack:"AskService"` // to an entry: service of the engine by the agent's settings, empty if they don't tell
	Members      *MemberList `msgpack:"Roster"`     // from an entry: the requested group
	Poll         *poll
	PollReply    *pollReply      `msgpack:"Answer"`
	Command      *relayedCommand `msgpack:"Order"`
	CommandReply *commandReply   `msgpack:"Reply"`
	Collection   *collection
	CountRequest *countRequest
	CountReply   *countReply
}

// relayedCommand is a command that an agent sends to its engine and relays to the agents of other ranks.
type relayedCommand struct {
	Command expert.Command
	Map     *packedMap    // of the command, nil for none
	ReplyTo string        `msgpack:"Director"` // IP address of the coordinator, which receives the replies
	Targets []relayTarget `msgpack:"Onward"`   // other ranks that the command is relayed to
}

// relayTarget is another rank that gets a relayed command, with the command's ID for that rank.
type relayTarget struct {
	ID   uint64
	Rank int
	IP   string
}

// commandReply is the reply of an engine to a command.
type commandReply struct {
	ID          uint64
	Reply       expert.Reply
	UnknownBase bool // the command was not sent to the engine, since the agent lacks the base of its map; Reply is ReplyLost
}

// poll requests the status of an agent's rank. The order of its fields is part of the protocol.
type poll struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag

	Group         string
	Rank          int   // rank of the coordinator that polls
	RequestedAt   int64 // on the coordinator's clock, in ms
	WantPlacement bool  // the reply must have the experts on the rank
	WantCounts    bool  // the reply must have the counts since the last such reply
}

// pollReply is the status of a rank, with its experts and counts if the poll requested them. The order of its fields is part
// of the protocol.
type pollReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag

	RequestedAt int64 // RequestedAt of the poll
	Group       string
	Rank        int
	StartedAt   int64 // start time of the engine, which identifies its incarnation
	Epoch       int64 // incarnation of the group
	Open        bool
	Step        int64
	Version     int64
	Prepared    int64
	Armed       int64
	ArmedStep   int64
	Held        int64
	Slowdown    float64   // above 1 if the engine is slow
	Experts     [][]int   // by set; nil if not requested
	Counts      [][]int64 // by set and expert; nil if not requested
}
