package operator

import "carawaypick/pkg/clock"

// Status is what one process believes at one moment.
type Status struct {
	Name      string     `json:"name"`
	Role      string     `json:"role"` // entry, agent
	Zone      string     `json:"zone"`
	Service   string     `json:"service,omitempty"` // of the agent's backend server
	State     string     `json:"state"`             // starting, live, down, leaving, out
	Uptime    clock.Span `json:"uptime"`            // ms since the process started
	Number    uint64     `json:"number"`            // highest ticket number in force
	Hash      string     `json:"hash"`              // over all tickets up to number, 16 hex digits
	Age       clock.Span `json:"age"`               // ms since that ticket came into force
	Missing   *Missing   `json:"missing,omitempty"` // nil where no ticket is held back
	Conflicts []uint64   `json:"conflicts,omitempty"`
	Skipped   []Skip     `json:"skipped,omitempty"`
	List      uint64     `json:"list"`     // version of the instance list
	Window    uint32     `json:"window"`   // requests that the backend server bears now
	Running   uint32     `json:"running"`  // requests in progress
	Queued    uint32     `json:"queued"`   // requests waiting
	Tokens    uint64     `json:"tokens"`   // expected tokens queued and running
	Rate      uint64     `json:"rate"`     // tokens a second completed lately
	Load      uint64     `json:"load"`     // tokens in the backend server by its own report
	LoadAge   clock.Span `json:"loadage"`  // ms since that report
	Bindings  uint64     `json:"bindings"` // outcomes of requests that may not be repeated, held
	Backends  []Backend  `json:"backends,omitempty"`
	Groups    []Group    `json:"groups,omitempty"`
}

// Missing is the ticket that holds back those after it.
type Missing struct {
	Number uint64     `json:"number"`
	Held   clock.Span `json:"held"` // ms for which it has been missing
}

// Skip is one invalid ticket that had no effect.
type Skip struct {
	Number uint64 `json:"number"`
	Reason string `json:"reason"`
}

// Backend is what an entry believes of one backend server.
type Backend struct {
	Name        string     `json:"name"` // of its agent
	Zone        string     `json:"zone"`
	Service     string     `json:"service"`
	State       string     `json:"state"`
	Grant       uint32     `json:"grant"`       // requests that the agent admits from this entry
	Outstanding uint32     `json:"outstanding"` // requests of this entry in progress there
	Age         clock.Span `json:"age"`         // ms since the agent's last report
}

// Group is what an agent believes of its group of ranks.
type Group struct {
	Name  string  `json:"name"`
	Epoch uint64  `json:"epoch"` // of the expert map in use
	Step  uint64  `json:"step"`
	Skew  float64 `json:"skew"` // step time of the slowest rank over the mean
}

// Decision is one step in the way of a request through a process.
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

// Candidate is what an entry knew of a backend server when it chose it.
type Candidate struct {
	Name        string     `json:"name"` // of its agent
	Zone        string     `json:"zone"`
	Outstanding uint32     `json:"outstanding"` // requests of this entry in progress there
	Grant       uint32     `json:"grant"`       // requests that the agent admits from this entry
	Load        uint64     `json:"load"`        // tokens by the agent's last report
	Age         clock.Span `json:"age"`         // ms since that report
}

// Answer is the body of the status and explain calls.
type Answer struct {
	Status    *Status    `json:"status,omitempty"`
	Decisions []Decision `json:"decisions,omitempty"`
}
