package standin

import (
	"encoding/json"
	"os"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v2"

	"carawaypick/pkg/clock"
)

// Instance is one entry or agent in the instance list.
type Instance struct {
	Name    string `json:"name"`
	Role    string `json:"role"`   // entry, agent
	Peer    string `json:"peer"`   // host:port for other processes of the system
	Caller  string `json:"caller"` // host:port for callers, empty for an agent
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	Service string `json:"service"` // empty for an entry
	State   string `json:"state"`   // live, leaving
}

// InstanceList is one version of the instance list.
type InstanceList struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// ListFault holds the fault switches of the instance list.
type ListFault struct {
	Lag  clock.Span `json:"lag"`  // ms until a change shows
	Down bool       `json:"down"` // answer 503
}

// List stands in for the lagging list of instances.
type List struct {
	*Server
	file    string
	fault   switches[ListFault]
	mutex   sync.Mutex
	history []listChange
	scanned string
}

type listChange struct {
	at   clock.Time
	list InstanceList
}

// NewList starts an instance list that rescans the file, whose name may be empty.
func NewList(address, file string) (*List, error) {
	l := &List{Server: newServer(), file: file, history: make([]listChange, 1)}
	l.history[0].list.Instances = []Instance{}
	l.fault.route(l.app)
	l.app.Get("/instances", l.read)
	l.app.Post("/set", l.set)
	if file != "" {
		l.rescan()
		l.every(rescanInterval, l.rescan)
	}
	return l, l.start(address)
}

// Set replaces the list; its version counts up by one.
func (l *List) Set(instances []Instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	last := l.history[len(l.history)-1].list
	list := InstanceList{Version: last.Version + 1, Instances: slices.Clone(instances)}
	l.history = append(l.history, listChange{at: l.clock.Now(), list: list})
}

// SetFault changes the fault switches.
func (l *List) SetFault(change func(*ListFault)) {
	l.fault.set(change)
}

// Present returns the newest version, which readers may not see yet.
func (l *List) Present() InstanceList {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.history[len(l.history)-1].list
}

func (l *List) rescan() {
	content, err := os.ReadFile(l.file)
	if err != nil || string(content) == l.scanned {
		return
	}
	var list InstanceList
	if json.Unmarshal(content, &list) != nil {
		return
	}
	l.scanned = string(content)
	l.Set(list.Instances)
}

func (l *List) set(c *fiber.Ctx) (err error) {
	defer func() { err = badRequest(err) }()
	var list InstanceList
	if err := json.Unmarshal(c.Body(), &list); err != nil {
		return errors.Wrap(err, "set list")
	}
	l.Set(list.Instances)
	return nil
}

func (l *List) read(c *fiber.Ctx) error {
	fault := l.fault.get()
	if fault.Down {
		return fiber.ErrServiceUnavailable
	}
	l.mutex.Lock()
	shown := l.history[0].list
	now := l.clock.Now()
	for _, h := range l.history[1:] {
		if now.Sub(h.at) >= fault.Lag {
			shown = h.list
		}
	}
	l.mutex.Unlock()
	return c.JSON(shown)
}
