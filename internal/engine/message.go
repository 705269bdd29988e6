package engine

import "carawaypick/pkg/expert"

// message is what the processes beside the ranks of a group tell one another, and ask an entry, by UDP.
type message struct {
	Ask    string  `json:"ask,omitempty"`    // the engine whose group an entry is asked for
	Roster *Roster `json:"roster,omitempty"` // the entry's answer
	Poll   *poll   `json:"poll,omitempty"`
	Answer *answer `json:"answer,omitempty"`
	Order  *relay  `json:"order,omitempty"`
	Reply  *reply  `json:"reply,omitempty"`
}

// relay is an order that the process beside a rank passes on to its engine.
type relay struct {
	Command expert.Command `json:"command"`
}

// reply is what became of an order.
type reply struct {
	ID    uint64       `json:"id"`
	Reply expert.Reply `json:"reply"`
}

// poll asks a process for its rank's standing.
type poll struct {
	Group string `json:"group"`
	Rank  int    `json:"rank"`  // of the asker
	Asked int64  `json:"asked"` // the asker's clock
}

// answer is a rank's standing and what it counted.
type answer struct {
	Asked    int64     `json:"asked"`
	Group    string    `json:"group"`
	Rank     int       `json:"rank"`
	Born     int64     `json:"born"`
	Epoch    int64     `json:"epoch"`
	Open     bool      `json:"open"`
	Step     int64     `json:"step"`
	Version  int64     `json:"version"`
	Prepared int64     `json:"prepared"`
	Armed    int64     `json:"armed"`
	ArmedAt  int64     `json:"armedat"`
	Held     int64     `json:"held"`
	Busy     bool      `json:"busy"`
	Pace     float64   `json:"pace"`
	Experts  [][]int   `json:"experts"` // that it holds, by set
	Counts   [][]int64 `json:"counts"`  // since the engine's start, by set
}
