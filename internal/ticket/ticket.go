package ticket

// Number is the position of a ticket in the order of all tickets, from 1.
type Number uint64

// Ticket is a change ticket as operators publish it.
type Ticket struct {
	Number  Number  `json:"number"`
	Author  string  `json:"author"`
	Objects Objects `json:"objects"`
}

// Objects maps kind and name to the complete new state of each object that a ticket changes; nil removes the object.
type Objects struct {
	Teams    map[string]*Team    `json:"teams,omitempty"`
	Zones    map[string]*Zone    `json:"zones,omitempty"`
	Services map[string]*Service `json:"services,omitempty"`
	Models   map[string]*Model   `json:"models,omitempty"`
	Backends map[string]*Backend `json:"backends,omitempty"`
	Groups   map[string]*Group   `json:"groups,omitempty"`
}

// Team is the configuration of one team.
type Team struct {
	Share      float64 `json:"share"`    // weight against other teams, above 0
	Priority   int32   `json:"priority"` // highest priority that its requests may ask for
	TokenLimit uint64  `json:"limit"`    // max tokens queued and running at one backend server, 0 for no limit
}

// Zone is the configuration of one availability zone.
type Zone struct {
	State string `json:"state"` // in, out
}

// Service is the configuration of one service that callers may call.
type Service struct {
	Kind               string `json:"kind"`       // model, plain
	Model              string `json:"model"`      // name of the model, for a model service
	Idempotent         bool   `json:"idempotent"` // whether its calls may be repeated
	StallTimeout       uint64 `json:"stall"`      // ms without progress after which an attempt counts as stalled, 0 for the default
	MaxConcurrency     uint32 `json:"bears"`      // max concurrent requests of one warm backend server
	MaxColdConcurrency uint32 `json:"cold"`       // max concurrent requests of one cold backend server
}

// Model is the configuration of one model.
type Model struct {
	Version     string   `json:"version"`
	Adapters    []string `json:"adapters"`
	WeightBytes uint64   `json:"weight"` // bytes to load for one backend server
}

// Backend is the operators' configuration of one backend server.
type Backend struct {
	State string `json:"state"` // in, out
	Role  string `json:"role"`  // empty for any, or prefill, decode
	Fence bool   `json:"fence"` // whether it rejects orders with an outdated fencing number
}

// Group is the configuration of a group of ranks that run in lock-step.
type Group struct {
	Ranks       []string `json:"ranks"`  // names of the agents, in rank order
	Slots       int      `json:"slots"`  // expert slots per rank and layer
	ExpertBytes uint64   `json:"weight"` // bytes of one expert
}
