package outage

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/config"
	"carawaypick/internal/kernel"
	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/pkg/clock"
)

const (
	service    = "notes"
	zoneOut    = "stgallen"
	engines    = 6
	entries    = 6
	bears      = 8
	cold       = 2
	interval   = 10 * clock.Millisecond // between two tokens of an engine
	callTokens = 30
	prompts    = 40 // different prompt beginnings
	deadline   = 3 * clock.Second
	warmSpan   = 6 * clock.Second
	phaseSpan  = 8 * clock.Second
	settleSpan = 3 * clock.Second // after a ticket, before its phase counts
	watchPause = 20 * clock.Millisecond
	runLimit   = 90 * clock.Second
)

// capacity is the calls a second that all engines together bear.
const capacity = float64(engines*bears) * float64(clock.Second) / (float64(interval) * callTokens)

// binary is where make build leaves carawaypick.
const binary = ".out/carawaypick"

// result is what one run gave.
type result struct {
	samples []sample
	last    clock.Span // ms from the ticket to the last new work in the zone
	peak    int        // crashes of engines by overload
}

// simulate runs processes under a part of their capacity while a zone leaves and returns.
func simulate(part float64) (r result, err error) {
	defer func() { err = errors.Wrap(err, "measure zone") }()
	folder, err := os.MkdirTemp("", "outage")
	if err != nil {
		return r, err
	}
	defer func() { err = errors.CombineErrors(err, os.RemoveAll(folder)) }()
	ctx, cancel := context.WithTimeout(context.Background(), runLimit.Duration())
	defer cancel()
	f, err := fleet.Open(fleet.Plan{
		Binary: binary, Folder: folder, Region: "ost",
		Zones:    []string{"thurgau", zoneOut, "zuerich"},
		Entries:  entries,
		Services: []fleet.Service{{Name: service, Kind: fleet.EngineKind, Count: engines}},
		Settings: func(s *config.Settings) { s.Timing.Drain = s.Timing.TTL },
	})
	if err != nil {
		return r, err
	}
	defer f.Close()
	if err := prepare(ctx, f); err != nil {
		return r, err
	}
	l := newLoad(f)
	rate := part * capacity
	l.run(ctx, phases, rate/2, warmSpan)
	l.run(ctx, phases, rate, warmSpan)
	l.run(ctx, before, rate, phaseSpan)
	if r.last, err = l.leave(ctx, f, rate); err != nil {
		return r, err
	}
	l.run(ctx, out, rate, phaseSpan)
	if err := f.Tickets.Publish([]byte(zoneTicket(3, "in"))); err != nil {
		return r, err
	}
	l.run(ctx, back, rate, settleSpan+phaseSpan)
	l.calls.Wait()
	for _, e := range f.Engines {
		r.peak += e.Record().Overload
	}
	r.samples = l.samples
	return r, f.Terminate(ctx)
}

func prepare(ctx context.Context, f *fleet.Fleet) error {
	for _, e := range f.Engines {
		e.SetFault(func(s *standin.EngineFault) {
			s.Interval, s.Bears, s.Cold = interval, bears, cold
		})
	}
	if err := f.Tickets.Publish([]byte(firstTicket())); err != nil {
		return err
	}
	return f.Start(ctx)
}

func newLoad(f *fleet.Fleet) *load {
	l := &load{clock: clock.New()}
	for _, t := range teams {
		l.callers = append(l.callers, standin.NewCaller(service, "thurgau", t.name, f.EntryAddresses()...))
	}
	return l
}

// leave takes the zone out under load and watches the engines' own record for new work there.
func (l *load) leave(ctx context.Context, f *fleet.Fleet, rate float64) (last clock.Span, err error) {
	if err := f.Tickets.Publish([]byte(zoneTicket(2, "out"))); err != nil {
		return 0, err
	}
	start := l.clock.Now()
	sent := kernel.Start(ctx, func(ctx context.Context) error {
		l.run(ctx, out, rate, settleSpan)
		return nil
	})
	seen := newWork(f)
	for l.clock.Since(start) < settleSpan {
		time.Sleep(watchPause.Duration())
		if now := newWork(f); now != seen {
			seen = now
			last = l.clock.Since(start)
		}
	}
	return last, <-sent
}

// newWork counts the requests that the engines of the zone were given.
func newWork(f *fleet.Fleet) (count int) {
	for _, p := range f.Agents {
		if p.Settings.Zone == zoneOut {
			count += len(f.Engines[p.Settings.Name].Record().Requests)
		}
	}
	return count
}

func firstTicket() string {
	shares := make([]string, 0, len(teams))
	for _, t := range teams {
		shares = append(shares, fmt.Sprintf(`%q:{"share":%d,"priority":%d,"limit":0}`, t.name, t.share, t.priority))
	}
	return fmt.Sprintf(`{"number":1,"author":"urs","objects":{"teams":{%s},`+
		`"models":{"most":{"version":"1","adapters":[],"weight":1}},`+
		`"services":{%q:{"kind":"model","model":"most","idempotent":true,"stall":1000,"bears":%d,"cold":%d}}}}`,
		strings.Join(shares, ","), service, bears, cold)
}

func zoneTicket(number int, state string) string {
	return fmt.Sprintf(`{"number":%d,"author":"urs","objects":{"zones":{%q:{"state":%q}}}}`, number, zoneOut, state)
}
