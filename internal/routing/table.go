package routing

import (
	"cmp"
	"slices"
	"strings"

	"carawaypick/pkg/clock"
)

// Kind says what may be repeated of a request.
type Kind int

// Kinds of requests.
const (
	Unsafe Kind = iota // runs at most once
	Safe               // idempotent
	Stream             // answered by events with increasing ids
)

// Route sends the requests of one host and path prefix to a service.
type Route struct {
	Name     string
	Host     string
	Prefix   string
	Service  string
	Split    []Weight // services that share the route by weight; empty where Service takes all
	Kind     Kind
	Timeout  clock.Span // longest time in ms that a request is kept waiting; 0 for none
	Aim      clock.Span // time in ms within which the answer, or its first event, is on time
	Gap      clock.Span // longest pause in ms between events that is on time; 0 for none
	Attempts int        // backend servers that one request may be sent to
	Priority int        // 0 is the most urgent
	Public   bool       // needs no key
	Sticky   bool       // requests carry prompts
	Resume   bool       // a stream may go on at another backend server
	Regions  []string   // regions whose backend servers may take the requests; empty for all
}

// Weight is a service's part of a split route.
type Weight struct {
	Service string
	Weight  float64
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name        string
	Health      string     // path of the health check
	Connections int        // connections that a backend server accepts from all callers together; 0 for no limit
	Cold        clock.Span // time in ms that a backend server stays cold after its start
	ColdRate    float64    // requests a second that a cold backend server bears; 0 for no limit
	Engine      Engine
}

// Engine tells what is known of the engines of a model service; its zero value stands for a plain service.
type Engine struct {
	Step       float64    // ms of a token step of an empty batch
	PerRequest float64    // ms that each request that is writing adds to a step
	Stride     int        // steps in a pass
	Lag        clock.Span // age in ms of the reports
	Sets       int        // sets of layers that share an expert map
	Experts    int        // a set
	Places     int        // experts that a rank holds a set, at most
	Spare      int        // new experts that one map may bring to a rank and set; 0 where it is not told
	ExpertMB   int64      // megabytes of one expert
	LinkMbps   int64      // megabits a second between ranks
}

// Team is a group of callers that share keys and a priority.
type Team struct {
	Name     string
	Priority int // replaces the route's where Ranked is set
	Ranked   bool
}

// Limits bound what callers may send.
type Limits struct {
	Header     int        // bytes of the header
	Body       int        // bytes of the body
	HeaderTime clock.Span // ms to send the header
	Idle       clock.Span // ms that a connection may stay idle
}

// Table is one version of the operators' configuration.
type Table struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Keys     map[string]Team // teams by API key
	Keyed    bool            // requests need a key unless their route is public
	Limits   Limits

	hosts map[string][]int // indices into Routes, longest prefix first
}

// Index prepares the table for Match; it must be called before the table is published.
func (t *Table) Index() {
	t.hosts = make(map[string][]int)
	for i := range t.Routes {
		host := strings.ToLower(t.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], i)
	}
	for _, indices := range t.hosts {
		slices.SortStableFunc(indices, func(a, b int) int {
			return cmp.Compare(len(t.Routes[b].Prefix), len(t.Routes[a].Prefix))
		})
	}
}

// Match returns the route of host with the longest prefix of path, or nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, i := range t.hosts[host] {
		if strings.HasPrefix(path, t.Routes[i].Prefix) {
			return &t.Routes[i]
		}
	}
	return nil
}

// Choose returns the service that takes a request of the route; draw is a random number in [0, 1).
func (r *Route) Choose(draw float64) string {
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
