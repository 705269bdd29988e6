package latency

import (
	"context"
	"encoding/json"
	"os"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

// Binary is the path of carawaypick after make build.
const Binary = ".out/carawaypick"

// Names in the ticket and the fleet of the measurements.
const (
	modelService = "check"
	plainService = "desk"
	teamName     = "politica"
	zoneName     = "lima-a"
)

// maxRequests is a concurrency limit that no load of the measurements reaches.
const maxRequests = 4096

// readyTimeout is the time in ms within which a call to a service must succeed.
const readyTimeout = 20 * clock.Second

// measuredFleet is a fleet of processes under measurement.
type measuredFleet struct {
	*fleet.Fleet
	folder string
}

// openFleet prepares a fleet and publishes its ticket, but starts no process.
func openFleet(p fleet.Plan) (f *measuredFleet, err error) {
	defer func() { err = errors.Wrap(err, "open fleet") }()
	if _, err := os.Stat(Binary); err != nil {
		return nil, errors.Wrap(err, "carawaypick is not built; run make build first")
	}
	p.Binary = Binary
	p.Region = "lima"
	p.Folder, err = os.MkdirTemp("", "carawaypick-latency-")
	if err != nil {
		return nil, err
	}
	f = &measuredFleet{folder: p.Folder}
	f.Fleet, err = fleet.Open(p)
	if err != nil {
		return f, err
	}
	content, err := json.Marshal(baseTicket())
	if err != nil {
		return f, err
	}
	return f, f.Tickets.Publish(content)
}

func baseTicket() ticket.Ticket {
	return ticket.Ticket{Number: 1, Author: "desk", Objects: ticket.Objects{
		Models: map[string]*ticket.Model{"facts": {Version: "1", WeightBytes: 1}},
		Services: map[string]*ticket.Service{
			modelService: {Kind: ticket.ModelService, Model: "facts", Idempotent: true, MaxConcurrency: maxRequests, MaxColdConcurrency: maxRequests},
			plainService: {Kind: ticket.PlainService, Idempotent: true, MaxConcurrency: maxRequests, MaxColdConcurrency: maxRequests},
		},
		Teams: map[string]*ticket.Team{teamName: {Share: 1, Priority: 9}},
	}}
}

// close kills all processes, stops the fake services and removes the fleet's folder.
func (f *measuredFleet) close() {
	if f == nil {
		return
	}
	if f.Fleet != nil {
		f.Close()
	}
	_ = os.RemoveAll(f.folder)
}

// waitReady retries a call until it succeeds or readyTimeout has passed.
func waitReady(send sendFunc) error {
	c := clock.New()
	for {
		err := send(0, 0, func() {})
		if err == nil {
			return nil
		}
		if c.Now() > clock.Time(readyTimeout) {
			return errors.Wrap(err, "wait for the service to answer")
		}
		standin.Sleep(context.Background(), readyInterval)
	}
}

// readyInterval is the time in ms between retries.
const readyInterval = 50 * clock.Millisecond
