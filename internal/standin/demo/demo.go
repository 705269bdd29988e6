package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"carawaypick/internal/config"
	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/pkg/clock"
)

const (
	senders      = 12
	tokenSpan    = 4 * clock.Millisecond
	workSpan     = 8 * clock.Millisecond
	locateLimit  = 15 * clock.Second
	locateSpan   = 50 * clock.Millisecond
	shownRunes   = 46
	warmBears    = 8
	coldBears    = 2
	requestsFile = "requests.jsonl"
	ticketFolder = "tickets"
)

// Options says what the demo needs.
type Options struct {
	Binary string // path of carawaypick
	Folder string // with requests.jsonl and tickets/
	Output io.Writer
}

// demonstration is one run of the demo.
type demonstration struct {
	options  Options
	fleet    *fleet.Fleet
	zones    []string
	models   map[string]bool
	requests []Request
	results  []result
}

// result is what one caller got.
type result struct {
	answer standin.Answer
	faults []string
}

// Run starts a fleet, sends all requests, prints the answers and fails where one is not whole and its caller's own.
func Run(ctx context.Context, options Options) (err error) {
	defer func() { err = errors.Wrap(err, "demo") }()
	d := demonstration{
		options: options,
		zones:   []string{"zone-a", "zone-b", "zone-c"},
		models:  map[string]bool{"check": true, "notes": true},
	}
	if d.requests, err = readRequests(filepath.Join(options.Folder, requestsFile)); err != nil {
		return err
	}
	folder, err := os.MkdirTemp("", "carawaypick-demo-")
	if err != nil {
		return err
	}
	if err := d.run(ctx, folder); err != nil {
		return errors.Wrapf(err, "logs are in %s", folder)
	}
	return os.RemoveAll(folder)
}

func (d *demonstration) run(ctx context.Context, folder string) (err error) {
	d.fleet, err = fleet.Open(d.plan(folder))
	if d.fleet != nil {
		defer d.fleet.Close()
	}
	if err != nil {
		return err
	}
	d.tune()
	if err := d.publish(folder); err != nil {
		return err
	}
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	d.printf("%d entries and %d agents serve in %s\n", len(d.fleet.Entries), len(d.fleet.Agents), strings.Join(d.zones, ", "))
	if err := d.await(ctx); err != nil {
		return err
	}
	d.send(ctx)
	faults := d.report()
	if err := d.fleet.Terminate(ctx); err != nil {
		return err
	}
	d.printf("all processes have shut down gracefully\n")
	if faults > 0 {
		return errors.Newf("%d of %d answers are wrong", faults, len(d.requests))
	}
	return nil
}

func (d *demonstration) plan(folder string) fleet.Plan {
	return fleet.Plan{
		Binary:  d.options.Binary,
		Folder:  folder,
		Region:  "demo",
		Zones:   d.zones,
		Entries: 6,
		Services: []fleet.Service{
			{Name: "check", Kind: fleet.EngineKind, Count: 3},
			{Name: "notes", Kind: fleet.EngineKind, Count: 3},
			{Name: "desk", Kind: fleet.PlainKind, Count: 2},
			{Name: "festival", Kind: fleet.PlainKind, Count: 1},
		},
		Settings: func(s *config.Settings) { s.Timing = fleet.QuickTiming() },
	}
}

// tune gives the stand-ins the pace and the bearing that the tickets say.
func (d *demonstration) tune() {
	for _, e := range d.fleet.Engines {
		e.SetFault(func(f *standin.EngineFault) {
			f.Interval, f.Bears, f.Cold = tokenSpan, warmBears, coldBears
		})
	}
	for _, p := range d.fleet.Plains {
		p.SetFault(func(f *standin.PlainFault) { f.Work = workSpan })
	}
}

// publish copies the ticket files into the folder that the configuration service rescans.
func (d *demonstration) publish(folder string) error {
	files, err := filepath.Glob(filepath.Join(d.options.Folder, ticketFolder, "*.json"))
	if err != nil || len(files) == 0 {
		return errors.Newf("no tickets in %s", filepath.Join(d.options.Folder, ticketFolder))
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(folder, filepath.Base(file)), content, 0o600); err != nil {
			return err
		}
	}
	d.printf("%d tickets published\n", len(files))
	return nil
}

func (d *demonstration) services() []string {
	return []string{"check", "notes", "desk", "festival"}
}

// await returns once every service can be located with a binding.
func (d *demonstration) await(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, locateLimit.Duration())
	defer cancel()
	for _, service := range d.services() {
		caller := standin.NewCaller(service, d.zones[0], "demo", d.fleet.EntryAddresses()...)
		location, err := caller.Relocate(ctx)
		for err != nil || location.Binding == "" {
			if !standin.Sleep(ctx, locateSpan) {
				return errors.Newf("service %s can't be located: %+v, %v", service, location, err)
			}
			location, err = caller.Relocate(ctx)
		}
		caller.Close()
		d.printf("%-8s at %s, kept for %d ms\n", service, strings.Join(location.Addresses, " "), location.TTL)
	}
	return nil
}

// send sends all requests, several at a time, each from a caller in one of the zones.
func (d *demonstration) send(ctx context.Context) {
	d.results = make([]result, len(d.requests))
	callers := map[string]*standin.Caller{}
	for i, r := range d.requests {
		key := d.callerKey(i, r)
		if callers[key] == nil {
			callers[key] = standin.NewCaller(r.Service, d.zones[i%len(d.zones)], r.Team, d.fleet.EntryAddresses()...)
		}
	}
	work := pool.New().WithMaxGoroutines(senders)
	for i, r := range d.requests {
		work.Go(func() { d.results[i] = d.sendOne(ctx, callers[d.callerKey(i, r)], i, r) })
	}
	work.Wait()
	for _, c := range callers {
		c.Close()
	}
}

func (d *demonstration) callerKey(i int, r Request) string {
	return r.Service + " " + r.Team + " " + d.zones[i%len(d.zones)]
}

func (d *demonstration) sendOne(ctx context.Context, caller *standin.Caller, i int, r Request) (got result) {
	location, err := caller.Locate(ctx)
	if err != nil {
		return result{faults: []string{err.Error()}}
	}
	id := fmt.Sprintf("demo-%d", i+1)
	if !r.Idempotent {
		id = location.Key + "." + id
	}
	got.answer = caller.Do(ctx, r.call(id))
	expected, err := r.expected(id, d.models[r.Service])
	if err != nil {
		return result{faults: []string{err.Error()}}
	}
	if got.answer.Outcome != standin.Whole {
		got.faults = append(got.faults, string(got.answer.Outcome)+": "+got.answer.Reason)
	} else if got.answer.Text != expected {
		got.faults = append(got.faults, "not the answer to this request")
	}
	if runs := d.fleet.Runs(id); !r.Idempotent && runs != 1 {
		got.faults = append(got.faults, fmt.Sprintf("ran %d times", runs))
	}
	return got
}
