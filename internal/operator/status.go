package operator

import "carawaypick/pkg/clock"

// Status is a snapshot of the state of one process.
type Status struct {
	Name        string          `json:"name"`
	Role        string          `json:"role"` // entry, agent
	Zone        string          `json:"zone"`
	Service     string          `json:"service,omitempty"`   // service of the agent's backend server
	State       string          `json:"state"`               // starting, live, down, leaving, out
	Uptime      clock.Span      `json:"uptime"`              // ms since the process started
	Number      uint64          `json:"number"`              // highest ticket number in force
	Hash        string          `json:"hash"`                // over number and objects of the state, 16 hex digits
	Age         clock.Span      `json:"age"`                 // ms since the state in force took effect
	Missing     *MissingTicket  `json:"missing,omitempty"`   // nil if no ticket is missing
	Conflicts   []uint64        `json:"conflicts,omitempty"` // ticket numbers with conflicting contents
	Skipped     []SkippedTicket `json:"skipped,omitempty"`
	ListVersion uint64          `json:"list"`     // version of the instance list
	Window      uint32          `json:"window"`   // concurrency limit of the backend server in requests
	Running     uint32          `json:"running"`  // requests in progress
	Queued      uint32          `json:"queued"`   // requests waiting
	Tokens      uint64          `json:"tokens"`   // expected tokens queued and running
	Rate        uint64          `json:"rate"`     // recent throughput in tokens per second
	Load        uint64          `json:"load"`     // tokens in the backend server by its last report
	LoadAge     clock.Span      `json:"loadage"`  // ms since the backend server's last report
	Bindings    uint64          `json:"bindings"` // ids of non-idempotent requests that the agent's binding table remembers
	Backends    []BackendStatus `json:"backends,omitempty"`
	Groups      []GroupStatus   `json:"groups,omitempty"`
}

// MissingTicket is a ticket that has not arrived and blocks those after it.
type MissingTicket struct {
	Number     uint64     `json:"number"`
	MissingFor clock.Span `json:"held"` // ms since it was found missing
}

// SkippedTicket is an invalid ticket that was not applied.
type SkippedTicket struct {
	Number uint64 `json:"number"`
	Reason string `json:"reason"`
}

// BackendStatus is the state of one backend server as an entry knows it.
type BackendStatus struct {
	Name        string     `json:"name"` // name of the agent of the backend server
	Zone        string     `json:"zone"`
	Service     string     `json:"service"`
	State       string     `json:"state"`
	Grant       uint32     `json:"grant"`       // requests that the agent admits from this entry
	Outstanding uint32     `json:"outstanding"` // requests of this entry in progress at the backend server
	Age         clock.Span `json:"age"`         // ms since the agent's last report
}

// GroupStatus is the state of a group of ranks as an agent knows it.
type GroupStatus struct {
	Name  string  `json:"name"`
	Epoch uint64  `json:"epoch"` // epoch of the expert map in use
	Step  uint64  `json:"step"`
	Skew  float64 `json:"skew"` // step time of the slowest rank divided by the mean
}

// Decision is one decision of a process on a request.
type Decision struct {
	Time       int64       `json:"time"` // ms since the Unix epoch by the process's clock
	Process    string      `json:"process"`
	Key        string      `json:"key"` // request id
	Attempt    uint32      `json:"attempt"`
	Kind       string      `json:"kind"` // choose, attempt, run, final
	Backend    string      `json:"backend,omitempty"`
	Reason     string      `json:"reason,omitempty"`
	Ticket     uint64      `json:"ticket"` // ticket number in force
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Candidate is the state of a backend server that an entry considered for an attempt.
type Candidate struct {
	Name        string     `json:"name"` // name of the agent of the backend server
	Zone        string     `json:"zone"`
	Outstanding uint32     `json:"outstanding"` // requests of this entry in progress at the backend server
	Grant       uint32     `json:"grant"`       // requests that the agent admits from this entry
	Load        uint64     `json:"load"`        // tokens by the agent's last report
	Age         clock.Span `json:"age"`         // ms since the agent's last report
}

// Response is the body of the status and explain responses.
type Response struct {
	Status    *Status    `json:"status,omitempty"`
	Decisions []Decision `json:"decisions,omitempty"`
}
