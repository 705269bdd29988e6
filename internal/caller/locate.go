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

// Location is the answer to locate.
type Location struct {
	Addresses []string   `json:"addresses"`         // host and port of entries, best first
	TTL       clock.Span `json:"ttl"`               // ms for which the caller may keep the answer
	Binding   string     `json:"binding,omitempty"` // for requests that may not be repeated
	Key       string     `json:"key,omitempty"`     // prefix of their identifiers, before a dot
}

// locate tells a caller which entries to use.
func (e *Entry) locate(c *fiber.Ctx) error {
	service := c.Query("service")
	if !e.member.Ready() {
		return e.turnAway(c, ReasonCold)
	}
	if e.member.State().Objects.Services[service] == nil {
		return e.malformed(c, bad("service", "is not known"))
	}
	zone := c.Query("zone", e.settings.Zone)
	asker := xxhash.Sum64String(c.Context().RemoteAddr().String())
	location := Location{Addresses: e.addresses(zone, asker), TTL: e.settings.Timing.TTL}
	if token, ok := e.bind(c.UserContext(), service); ok {
		location.Binding = token.Encode()
		location.Key = token.Key()
	}
	return c.JSON(location)
}

// addresses orders the entries for a caller in zone; this entry itself is in it unless it leaves.
func (e *Entry) addresses(zone string, asker uint64) []string {
	var entries []balance.Entry
	known := false
	for _, i := range e.member.List().Instances {
		if i.Role != platform.EntryRole || i.Caller == "" {
			continue
		}
		leaving := i.State == platform.Leaving
		if i.Name == e.settings.Name {
			known = true
			leaving = leaving || e.leaving.Load()
		}
		entries = append(entries, balance.Entry{Name: i.Name, Zone: i.Zone, Address: i.Caller, Leaving: leaving})
	}
	if !known && !e.leaving.Load() {
		entries = append(entries, balance.Entry{Name: e.settings.Name, Zone: e.settings.Zone, Address: e.settings.Listen})
	}
	return balance.Order(zone, entries, e.zonesOut(), asker)
}

func (e *Entry) zonesOut() (out []string) {
	for name, zone := range e.member.State().Objects.Zones {
		if zone.State == "out" {
			out = append(out, name)
		}
	}
	return out
}

// bind chooses the agent incarnation for a caller's requests that may not be repeated.
func (e *Entry) bind(ctx context.Context, service string) (token binding.Token, ok bool) {
	targets, candidates := e.board.Candidates(service, e.member.State())
	i, ok := e.chooser.Pick(balance.Call{Tokens: 1, Zone: e.settings.Zone}, candidates)
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

// freshReport returns a report that leaves a binding at least half its life, and asks for one where need be.
func (e *Entry) freshReport(ctx context.Context, t Target) (r *peerpb.Report, ok bool) {
	r, age, ok := e.board.Report(t.Name)
	if ok && age <= clock.Span(r.GetLife())/2 {
		return r, true
	}
	if err := e.poll(ctx, t); err != nil {
		e.board.Lost(t.Name)
		return nil, false
	}
	r, _, ok = e.board.Report(t.Name)
	return r, ok
}
