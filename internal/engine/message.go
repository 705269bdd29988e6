package engine

import "carawaypick/pkg/expert"

// message is what the processes beside the ranks of a group tell one another, and ask an entry, by UDP.
type message struct {
	Ask    string  // the engine whose group an entry is asked for
	Roster *Roster // the entry's answer
	Poll   *poll
	Answer *answer
	Order  *relay
	Reply  *reply
}

// relay is an order that the process beside a rank passes on to its engine, and to the processes beside other ranks.
type relay struct {
	Command  expert.Command
	Director string // IP address that the replies go to
	Onward   []onward
}

// onward is the same order for another rank.
type onward struct {
	ID   uint64
	Rank int
	IP   string
}

// reply is what became of an order.
type reply struct {
	ID    uint64
	Reply expert.Reply
}

// poll asks a process for its rank's standing.
type poll struct {
	Group  string
	Rank   int   // of the asker
	Asked  int64 // the asker's clock
	Lists  bool  // the experts that the rank holds are wanted
	Counts bool  // what was counted since this asker last wanted it
}

// answer is a rank's standing and what it counted.
type answer struct {
	Asked    int64
	Group    string
	Rank     int
	Born     int64
	Epoch    int64
	Open     bool
	Step     int64
	Version  int64
	Prepared int64
	Armed    int64
	ArmedAt  int64
	Held     int64
	Busy     bool
	Pace     float64
	Experts  [][]int   // that it holds, by set; nil where they were not wanted
	Counts   [][]int64 // by set and expert; nil where they were not wanted
}
