package routing

import (
	"cmp"
	"slices"
	"strings"

	"carawaypick/pkg/clock"
)

// RequestKind classifies the requests of a route by whether and how they may be repeated.
type RequestKind int

// Kinds of requests.
const (
	NonIdempotent RequestKind = iota // must run at most once
	Idempotent                       // may be repeated
	Stream                           // answered by a stream of events with increasing ids
)

// Route maps the requests of one host and path prefix to a service.
type Route struct {
	Name          string
	Host          string
	PathPrefix    string
	Service       string
	Split         []WeightedService // weighted services that share the requests; empty if Service takes all
	Kind          RequestKind
	Timeout       clock.Span // request timeout in ms; 0 for none
	LatencyTarget clock.Span // target in ms for the time to the answer, or to its first event
	GapTarget     clock.Span // target in ms for the gap between events; 0 for none
	MaxAttempts   int        // maximum number of backend servers that one request is sent to
	Priority      int        // 0 is the most urgent
	Public        bool       // needs no API key
	Sticky        bool       // configured as sticky because its requests carry prompts; not used for routing
	Resumable     bool       // a broken stream may resume at another backend server
	Regions       []string   // regions whose backend servers may take the requests; empty for all
}

// WeightedService is a service with its weight in a split route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of backend servers that answer the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int        // connections that a backend server accepts from all entries together; 0 for no limit
	ColdTime       clock.Span // time in ms after its start for which a backend server is cold
	ColdRate       float64    // requests per second that a cold backend server accepts; 0 for no limit
	Engine         Engine
}

// Engine describes the inference engines of a model service; the zero value means a plain service.
type Engine struct {
	StepMs           float64    // duration in ms of a token step with an empty batch
	StepMsPerRequest float64    // ms that each decoding request adds to a step
	StepsPerPass     int        // token steps per pass
	ReportLag        clock.Span // age in ms of the load reports
	LayerSets        int        // sets of layers that share an expert map
	ExpertsPerSet    int        // experts per layer set
	SlotsPerRank     int        // maximum experts per rank and layer set
	MaxAdded         int        // maximum new experts per rank and layer set in one expert map; 0 if not configured
	ExpertMB         int64      // size of one expert in megabytes
	LinkMbps         int64      // bandwidth between ranks in megabits per second
}

// Team is a group of callers that share keys and a priority.
type Team struct {
	Name        string
	Priority    int // overrides the route's priority if HasPriority is set
	HasPriority bool
}

// Limits bound the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  clock.Span // ms for the request header to arrive
	IdleTimeout    clock.Span // ms that a connection may be idle
}

// Config is one version of the operators' configuration.
type Config struct {
	Version    int64
	Routes     []Route
	Services   map[string]Service
	TeamsByKey map[string]Team // teams by API key
	RequireKey bool            // requests need an API key unless their route is public
	Limits     Limits

	routesByHost map[string][]int // indices into Routes, longest prefix first
}

// BuildIndex builds the index for Match; call it before publishing the configuration.
func (c *Config) BuildIndex() {
	c.routesByHost = make(map[string][]int)
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		c.routesByHost[host] = append(c.routesByHost[host], i)
	}
	for _, indices := range c.routesByHost {
		slices.SortStableFunc(indices, func(a, b int) int {
			return cmp.Compare(len(c.Routes[b].PathPrefix), len(c.Routes[a].PathPrefix))
		})
	}
}

// Match returns the route of host with the longest prefix of path, or nil if there is none.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, i := range c.routesByHost[host] {
		if strings.HasPrefix(path, c.Routes[i].PathPrefix) {
			return &c.Routes[i]
		}
	}
	return nil
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// ChooseService returns the service for a request of the route; draw is a random number in [0, 1).
func (r *Route) ChooseService(draw float64) string {
	total := 0.0
	for _, w := range r.Split {
		total += w.Weight
	}
	if total <= 0 {
		return r.Service
	}
	draw *= total
	for _, w := range r.Split {
		if draw -= w.Weight; draw < 0 {
			return w.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
