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
	Peer    string `json:"peer"`   // host:port at which other processes of the system reach it
	Caller  string `json:"caller"` // host:port at which callers reach it, empty for an agent
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

// ListFault configures the injected faults of the instance list.
type ListFault struct {
	Lag  clock.Span `json:"lag"`  // ms until readers get a change
	Down bool       `json:"down"` // answer reads with 503
}

// List is a stand-in for the platform's eventually consistent instance list.
type List struct {
	*Server
	file        string
	fault       faultState[ListFault]
	mutex       sync.Mutex
	versions    []listVersion
	lastContent string // last valid content read from file
}

type listVersion struct {
	at   clock.Time
	list InstanceList
}

// NewList starts an instance list. If file isn't empty, the list publishes the contents of that file.
func NewList(address, file string) (*List, error) {
	l := &List{Server: newServer(), file: file, versions: make([]listVersion, 1)}
	l.versions[0].list.Instances = []Instance{}
	l.fault.route(l.app)
	l.app.Get("/instances", l.read)
	l.app.Post("/set", l.set)
	if file != "" {
		l.rescan()
		l.every(rescanInterval, l.rescan)
	}
	return l, l.start(address)
}

// Set replaces the list and increments its version.
func (l *List) Set(instances []Instance) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	last := l.versions[len(l.versions)-1].list
	list := InstanceList{Version: last.Version + 1, Instances: slices.Clone(instances)}
	l.versions = append(l.versions, listVersion{at: l.clock.Now(), list: list})
}

// SetFault changes the injected faults.
func (l *List) SetFault(change func(*ListFault)) {
	l.fault.set(change)
}

// Latest returns the newest version, which readers may not get yet.
func (l *List) Latest() InstanceList {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.versions[len(l.versions)-1].list
}

func (l *List) rescan() {
	content, err := os.ReadFile(l.file)
	if err != nil || string(content) == l.lastContent {
		return
	}
	var list InstanceList
	if json.Unmarshal(content, &list) != nil {
		return
	}
	l.lastContent = string(content)
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
	shown := l.versions[0].list
	now := l.clock.Now()
	for _, v := range l.versions[1:] {
		if now.Sub(v.at) >= fault.Lag {
			shown = v.list
		}
	}
	l.mutex.Unlock()
	return c.JSON(shown)
}
