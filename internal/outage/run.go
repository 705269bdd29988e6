package outage

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/config"
	"carawaypick/internal/lifecycle"
	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/pkg/clock"
)

const (
	service         = "notes"
	evacuatedZone   = "stgallen"
	engineCount     = 6
	entryCount      = 6
	engineSlots     = 8                      // concurrent requests that a warm engine serves
	coldEngineSlots = 2                      // concurrent requests that a cold engine serves
	tokenInterval   = 10 * clock.Millisecond // between two tokens of one request
	callTokens      = 30                     // output tokens of a call
	promptCount     = 40                     // distinct prompt prefixes
	callTimeout     = 3 * clock.Second
	warmupSpan      = 6 * clock.Second
	phaseSpan       = 8 * clock.Second
	settleSpan      = 3 * clock.Second       // time that processes get to apply a ticket; calls made in it count in the phase after the ticket, in addition to phaseSpan
	watchInterval   = 20 * clock.Millisecond // between two reads of the number of requests in the zone
	runLimit        = 90 * clock.Second
)

// callCapacity is the number of calls per second that all engines together can serve.
const callCapacity = float64(engineCount*engineSlots) * float64(clock.Second) / (float64(tokenInterval) * callTokens)

// binary is the path of carawaypick after make build.
const binary = ".out/carawaypick"

// result is the outcome of one run.
type result struct {
	samples         []sample
	lastZoneRequest clock.Span // ms from the evacuation ticket to the last request to an engine of the zone
	overloadCrashes int        // engine crashes caused by overload
}

// measureOutage runs processes at the given fraction of capacity while a zone is evacuated and restored.
func measureOutage(loadShare float64) (r result, err error) {
	defer func() { err = errors.Wrap(err, "measure zone evacuation") }()
	folder, err := os.MkdirTemp("", "outage")
	if err != nil {
		return r, err
	}
	defer func() { err = errors.CombineErrors(err, os.RemoveAll(folder)) }()
	ctx, cancel := context.WithTimeout(context.Background(), runLimit.Duration())
	defer cancel()
	f, err := fleet.Open(fleet.Plan{
		Binary: binary, Folder: folder, Region: "ost",
		Zones:    []string{"thurgau", evacuatedZone, "zuerich"},
		Entries:  entryCount,
		Services: []fleet.Service{{Name: service, Kind: fleet.EngineKind, Count: engineCount}},
		Settings: func(s *config.Settings) { s.Timing.DrainPeriod = s.Timing.TTL },
	})
	if err != nil {
		return r, err
	}
	defer f.Close()
	if err := startFleet(ctx, f); err != nil {
		return r, err
	}
	l := newLoadGenerator(f)
	rate := loadShare * callCapacity
	l.run(ctx, phaseCount, rate/2, warmupSpan)
	l.run(ctx, phaseCount, rate, warmupSpan)
	l.run(ctx, phaseBefore, rate, phaseSpan)
	if r.lastZoneRequest, err = l.evacuate(ctx, f, rate); err != nil {
		return r, err
	}
	l.run(ctx, phaseOut, rate, phaseSpan)
	if err := f.Tickets.Publish([]byte(zoneTicket(3, "in"))); err != nil {
		return r, err
	}
	l.run(ctx, phaseBack, rate, settleSpan+phaseSpan)
	l.calls.Wait()
	for _, e := range f.Engines {
		r.overloadCrashes += e.Record().OverloadCrashes
	}
	r.samples = l.samples
	return r, f.Terminate(ctx)
}

func startFleet(ctx context.Context, f *fleet.Fleet) error {
	for _, e := range f.Engines {
		e.SetFault(func(s *standin.EngineFault) {
			s.Interval, s.MaxConcurrency, s.MaxColdConcurrency = tokenInterval, engineSlots, coldEngineSlots
		})
	}
	if err := f.Tickets.Publish([]byte(firstTicket())); err != nil {
		return err
	}
	return f.Start(ctx)
}

func newLoadGenerator(f *fleet.Fleet) *loadGenerator {
	l := &loadGenerator{clock: clock.New()}
	for _, t := range teams {
		l.callers = append(l.callers, standin.NewCaller(service, "thurgau", t.name, f.EntryAddresses()...))
	}
	return l
}

// evacuate publishes the evacuation under load and returns the time in ms to the last request that an engine of the zone records.
func (l *loadGenerator) evacuate(ctx context.Context, f *fleet.Fleet, rate float64) (last clock.Span, err error) {
	if err := f.Tickets.Publish([]byte(zoneTicket(2, "out"))); err != nil {
		return 0, err
	}
	start := l.clock.Now()
	done := lifecycle.Start(ctx, func(ctx context.Context) error {
		l.run(ctx, phaseOut, rate, settleSpan)
		return nil
	})
	requests := zoneRequests(f)
	for l.clock.Since(start) < settleSpan {
		time.Sleep(watchInterval.Duration())
		if count := zoneRequests(f); count != requests {
			requests = count
			last = l.clock.Since(start)
		}
	}
	return last, <-done
}

// zoneRequests returns the number of requests that the engines of the evacuated zone have received.
func zoneRequests(f *fleet.Fleet) (count int) {
	for _, p := range f.Agents {
		if p.Settings.Zone == evacuatedZone {
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
		strings.Join(shares, ","), service, engineSlots, coldEngineSlots)
}

func zoneTicket(number int, state string) string {
	return fmt.Sprintf(`{"number":%d,"author":"urs","objects":{"zones":{%q:{"state":%q}}}}`, number, evacuatedZone, state)
}
