package caller

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"

	"carawaypick/internal/balance"
	"carawaypick/internal/binding"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/pkg/clock"
)

// Location is the locate response.
type Location struct {
	Addresses []string   `json:"addresses"`         // host:port of entries in order of preference
	TTL       clock.Span `json:"ttl"`               // milliseconds for which the caller may cache the response
	Binding   string     `json:"binding,omitempty"` // for requests that are not idempotent; empty if no agent is available
	Key       string     `json:"key,omitempty"`     // the identifiers of requests with the binding begin with this key and a dot
}

// locate returns the entries that a caller should use, and a binding for the service if an agent is available.
func (e *Entry) locate(c *fiber.Ctx) error {
	service := c.Query("service")
	if !e.member.Ready() {
		return e.reject(c, ReasonNoConfiguration)
	}
	if e.member.State().Objects.Services[service] == nil {
		return e.rejectMalformed(c, badRequest("service", "is not known"))
	}
	zone := c.Query("zone", e.settings.Zone)
	callerHash := xxhash.Sum64String(c.Context().RemoteAddr().String())
	location := Location{Addresses: e.addresses(zone, callerHash), TTL: e.settings.Timing.TTL}
	if token, ok := e.newBinding(c.UserContext(), service); ok {
		location.Binding = token.Encode()
		location.Key = token.IDPrefix()
	}
	return c.JSON(location)
}

// addresses returns the entries in order of preference for a caller in zone, with those that are starting last. It
// includes this entry even if the instance list doesn't, unless it is leaving.
func (e *Entry) addresses(zone string, callerHash uint64) []string {
	var serving, starting []balance.Entry
	e.entries.update(e.member.List())
	known := false
	for _, i := range e.member.List().Instances {
		if i.Role != platform.EntryRole || i.Caller == "" {
			continue
		}
		leaving := i.State == platform.StateLeaving
		if i.Name == e.settings.Name {
			known = true
			leaving = leaving || e.leaving.Load()
		}
		entry := balance.Entry{Name: i.Name, Zone: i.Zone, Address: i.Caller, Draining: leaving}
		if i.Name != e.settings.Name && e.entries.isStarting(i.Name) {
			starting = append(starting, entry)
		} else {
			serving = append(serving, entry)
		}
	}
	if !known && !e.leaving.Load() {
		serving = append(serving, balance.Entry{Name: e.settings.Name, Zone: e.settings.Zone, Address: e.settings.Listen})
	}
	out := e.zonesOut()
	return append(balance.OrderEntries(zone, serving, out, callerHash), balance.OrderEntries(zone, starting, out, callerHash)...)
}

func (e *Entry) zonesOut() (out []string) {
	for name, zone := range e.member.State().Objects.Zones {
		if zone.State == "out" {
			out = append(out, name)
		}
	}
	return out
}

// newBinding binds a caller's non-idempotent requests to one agent incarnation.
func (e *Entry) newBinding(ctx context.Context, service string) (token binding.Token, ok bool) {
	targets, candidates := e.tracker.Candidates(service, e.member.State())
	i, ok := e.picker.Pick(balance.PickInfo{Tokens: 1, Zone: e.settings.Zone}, candidates)
	if !ok {
		return binding.Token{}, false
	}
	r, ok := e.freshReport(ctx, targets[i])
	if !ok || r.GetIncarnation() == 0 || r.GetState() != stateLive {
		return binding.Token{}, false
	}
	return binding.Token{
		Agent:       targets[i].Name,
		Address:     targets[i].Address,
		Incarnation: r.GetIncarnation(),
		Expiry:      clock.Time(r.GetClock()).Add(clock.Span(r.GetLife())),
		Service:     service,
	}, true
}

// freshReport returns a report that is at most half a binding's lifetime old, and polls the agent if there is none.
func (e *Entry) freshReport(ctx context.Context, t Target) (r *peerpb.Report, ok bool) {
	r, age, ok := e.tracker.Report(t.Name)
	if ok && age <= clock.Span(r.GetLife())/2 {
		return r, true
	}
	if err := e.poll(ctx, t); err != nil {
		e.tracker.MarkUnreachable(t.Name)
		return nil, false
	}
	r, _, ok = e.tracker.Report(t.Name)
	return r, ok
}
