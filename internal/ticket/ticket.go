package ticket

// Number is the place of a ticket in the order of all tickets, from 1.
type Number uint64

// Ticket is one change ticket as operators publish it.
type Ticket struct {
	Number  Number  `json:"number"`
	Author  string  `json:"author"`
	Objects Objects `json:"objects"`
}

// Objects holds the whole new state of each object that a ticket touches, by kind and name; nil removes the object.
type Objects struct {
	Teams    map[string]*Team    `json:"teams,omitempty"`
	Zones    map[string]*Zone    `json:"zones,omitempty"`
	Services map[string]*Service `json:"services,omitempty"`
	Models   map[string]*Model   `json:"models,omitempty"`
	Backends map[string]*Backend `json:"backends,omitempty"`
	Groups   map[string]*Group   `json:"groups,omitempty"`
}

// Team is the standing of one team.
type Team struct {
	Share    float64 `json:"share"`    // weight against other teams, above 0
	Priority int32   `json:"priority"` // highest priority that its requests may ask for
	Limit    uint64  `json:"limit"`    // most tokens that it may have queued and running at one backend server, 0 for no limit
}

// Zone is the standing of one availability zone.
type Zone struct {
	State string `json:"state"` // in, out
}

// Service is one service that callers may call.
type Service struct {
	Kind       string `json:"kind"`       // model, plain
	Model      string `json:"model"`      // the model of a model service
	Idempotent bool   `json:"idempotent"` // whether its calls may be repeated
	Stall      uint64 `json:"stall"`      // ms without progress after which an attempt counts as stalled, 0 for the default
	Bears      uint32 `json:"bears"`      // requests that one warm backend server bears at once
	Cold       uint32 `json:"cold"`       // requests that one cold backend server bears at once
}

// Model is the version and adapters of one model.
type Model struct {
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Weight   uint64   `json:"weight"` // bytes to load for one backend server
}

// Backend is what operators say of one backend server.
type Backend struct {
	State string `json:"state"` // in, out
	Role  string `json:"role"`  // empty for any, or prefill, decode
	Fence bool   `json:"fence"` // whether it refuses orders with an old fencing number
}

// Group is a group of ranks that runs in lock-step.
type Group struct {
	Ranks  []string `json:"ranks"`  // names of the agents, in rank order
	Slots  int      `json:"slots"`  // expert slots a rank and layer
	Weight uint64   `json:"weight"` // bytes of one expert
}
