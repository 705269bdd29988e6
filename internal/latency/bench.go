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

// Binary is the path of carawaypick as make build leaves it.
const Binary = ".out/carawaypick"

// Names that the measurements use.
const (
	modelService = "check"
	plainService = "desk"
	teamName     = "politica"
	zoneName     = "lima-a"
)

// manyRequests is a window that never holds a load back.
const manyRequests = 4096

// readyLimit is the time in ms in which every service must answer.
const readyLimit = 20 * clock.Second

// bench is a fleet under measurement.
type bench struct {
	*fleet.Fleet
	folder string
}

// open builds a fleet with its ticket published and starts no process.
func open(p fleet.Plan) (b *bench, err error) {
	defer func() { err = errors.Wrap(err, "open bench") }()
	if _, err := os.Stat(Binary); err != nil {
		return nil, errors.Wrap(err, "run make build first")
	}
	p.Binary = Binary
	p.Region = "lima"
	p.Folder, err = os.MkdirTemp("", "carawaypick-latency-")
	if err != nil {
		return nil, err
	}
	b = &bench{folder: p.Folder}
	b.Fleet, err = fleet.Open(p)
	if err != nil {
		return b, err
	}
	content, err := json.Marshal(baseTicket())
	if err != nil {
		return b, err
	}
	return b, b.Tickets.Publish(content)
}

func baseTicket() ticket.Ticket {
	return ticket.Ticket{Number: 1, Author: "desk", Objects: ticket.Objects{
		Models: map[string]*ticket.Model{"facts": {Version: "1", Weight: 1}},
		Services: map[string]*ticket.Service{
			modelService: {Kind: ticket.ModelService, Model: "facts", Idempotent: true, Bears: manyRequests, Cold: manyRequests},
			plainService: {Kind: ticket.PlainService, Idempotent: true, Bears: manyRequests, Cold: manyRequests},
		},
		Teams: map[string]*ticket.Team{teamName: {Share: 1, Priority: 9}},
	}}
}

// close ends all processes and removes their files.
func (b *bench) close() {
	if b == nil {
		return
	}
	if b.Fleet != nil {
		b.Close()
	}
	_ = os.RemoveAll(b.folder)
}

// answers waits until a call succeeds.
func answers(send request) error {
	c := clock.New()
	for {
		err := send(0, 0, func() {})
		if err == nil {
			return nil
		}
		if c.Now() > clock.Time(readyLimit) {
			return errors.Wrap(err, "wait for the path")
		}
		standin.Sleep(context.Background(), readyPause)
	}
}

// readyPause is the time in ms between two tries.
const readyPause = 50 * clock.Millisecond
