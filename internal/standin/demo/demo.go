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
	maxConcurrentRequests = 12
	tokenInterval         = 4 * clock.Millisecond
	serviceTime           = 8 * clock.Millisecond
	locateTimeout         = 15 * clock.Second
	locateRetryInterval   = 50 * clock.Millisecond
	maxTextRunes          = 46
	engineConcurrency     = 8 // concurrent requests of a warm engine
	coldEngineConcurrency = 2 // concurrent requests of an engine that has just started
	requestsFile          = "requests.jsonl"
	ticketFolder          = "tickets"
)

// Options configures the demo.
type Options struct {
	Binary string // path of carawaypick
	Folder string // folder with requests.jsonl and tickets/
	Output io.Writer
}

// runner is the state of one run of the demo.
type runner struct {
	options  Options
	fleet    *fleet.Fleet
	zones    []string
	models   map[string]bool // names of the model services
	requests []Request
	results  []requestResult
}

// requestResult is the result of one request.
type requestResult struct {
	call     standin.CallResult
	failures []string // empty if the response is correct
}

// Run starts a fleet, sends all requests, prints the responses and fails unless each response is complete and belongs to its
// request and no engine crashed by overload.
func Run(ctx context.Context, options Options) (err error) {
	defer func() { err = errors.Wrap(err, "demo") }()
	d := runner{
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

func (d *runner) run(ctx context.Context, folder string) (err error) {
	d.fleet, err = fleet.Open(d.plan(folder))
	if d.fleet != nil {
		defer d.fleet.Close()
	}
	if err != nil {
		return err
	}
	d.configureFaults()
	if err := d.publish(folder); err != nil {
		return err
	}
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	d.printf("%d entries and %d agents are ready in %s\n", len(d.fleet.Entries), len(d.fleet.Agents), strings.Join(d.zones, ", "))
	if err := d.awaitServices(ctx); err != nil {
		return err
	}
	d.sendAll(ctx)
	failures := d.report()
	if err := d.fleet.Terminate(ctx); err != nil {
		return err
	}
	d.printf("all processes have shut down gracefully\n")
	if failures > 0 {
		return errors.Newf("%d of %d responses are wrong", failures, len(d.requests))
	}
	return nil
}

func (d *runner) plan(folder string) fleet.Plan {
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

// configureFaults sets the speed of the stand-ins, and the capacity of the engines to that in the demo's tickets.
func (d *runner) configureFaults() {
	for _, e := range d.fleet.Engines {
		e.SetFault(func(f *standin.EngineFault) {
			f.Interval, f.MaxConcurrency, f.MaxColdConcurrency = tokenInterval, engineConcurrency, coldEngineConcurrency
		})
	}
	for _, p := range d.fleet.Plains {
		p.SetFault(func(f *standin.PlainFault) { f.ServiceTime = serviceTime })
	}
}

// publish copies the ticket files into the folder that the configuration service rescans.
func (d *runner) publish(folder string) error {
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

func (d *runner) services() []string {
	return []string{"check", "notes", "desk", "festival"}
}

// awaitServices blocks until every service can be located with a binding.
func (d *runner) awaitServices(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout.Duration())
	defer cancel()
	for _, service := range d.services() {
		caller := standin.NewCaller(service, d.zones[0], "demo", d.fleet.EntryAddresses()...)
		location, err := caller.RefreshLocation(ctx)
		for err != nil || location.Binding == "" {
			if !standin.Sleep(ctx, locateRetryInterval) {
				return errors.Newf("no location with a binding for service %s: %+v, %v", service, location, err)
			}
			location, err = caller.RefreshLocation(ctx)
		}
		caller.Close()
		d.printf("%-8s at %s, TTL %d ms\n", service, strings.Join(location.Addresses, " "), location.TTL)
	}
	return nil
}

// sendAll sends all requests concurrently, each from a caller in one of the zones.
func (d *runner) sendAll(ctx context.Context) {
	d.results = make([]requestResult, len(d.requests))
	callers := map[string]*standin.Caller{}
	for i, r := range d.requests {
		key := d.callerKey(i, r)
		if callers[key] == nil {
			callers[key] = standin.NewCaller(r.Service, d.zones[i%len(d.zones)], r.Team, d.fleet.EntryAddresses()...)
		}
	}
	work := pool.New().WithMaxGoroutines(maxConcurrentRequests)
	for i, r := range d.requests {
		work.Go(func() { d.results[i] = d.sendOne(ctx, callers[d.callerKey(i, r)], i, r) })
	}
	work.Wait()
	for _, c := range callers {
		c.Close()
	}
}

func (d *runner) callerKey(i int, r Request) string {
	return r.Service + " " + r.Team + " " + d.zones[i%len(d.zones)]
}

func (d *runner) sendOne(ctx context.Context, caller *standin.Caller, i int, r Request) (result requestResult) {
	location, err := caller.Locate(ctx)
	if err != nil {
		return requestResult{failures: []string{err.Error()}}
	}
	id := fmt.Sprintf("demo-%d", i+1)
	if !r.Idempotent {
		id = location.Key + "." + id
	}
	result.call = caller.Do(ctx, r.call(id))
	expected, err := r.expected(id, d.models[r.Service])
	if err != nil {
		return requestResult{failures: []string{err.Error()}}
	}
	if result.call.Outcome != standin.Complete {
		result.failures = append(result.failures, string(result.call.Outcome)+": "+result.call.Reason)
	} else if result.call.Text != expected {
		result.failures = append(result.failures, "not the response to this request")
	}
	if runs := d.fleet.RunCount(id); !r.Idempotent && runs != 1 {
		result.failures = append(result.failures, fmt.Sprintf("ran %d times", runs))
	}
	return result
}
