package platform

import (
	"encoding/json"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/ticket"
)

// Bounds of what one answer of the platform may hold.
const (
	// MaxAnswer is the longest answer in bytes.
	MaxAnswer = 8 << 20
	// MaxInstances is the most instances in a list.
	MaxInstances = 20_000
	maxTickets   = 65_536
	maxWord      = 128 // bytes of a name
)

// Roles of an instance.
const (
	EntryRole = "entry"
	AgentRole = "agent"
)

// States of an instance.
const (
	Live    = "live"
	Leaving = "leaving"
)

// Instance is one process of the system as the platform lists it.
type Instance struct {
	Name    string `json:"name"`
	Role    string `json:"role"`    // entry, agent
	Peer    string `json:"peer"`    // IP and port for other processes
	Caller  string `json:"caller"`  // IP and port for callers, empty for agents
	Zone    string `json:"zone"`    // availability zone
	Region  string `json:"region"`  // region of the zone
	Service string `json:"service"` // service of the backend server, empty for entries
	State   string `json:"state"`   // live, leaving
}

// List is the platform's list of instances, of which a higher version is newer.
type List struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// ValueError says which value of an answer is wrong and why.
type ValueError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *ValueError) Error() string {
	return e.Field + ": " + e.Reason
}

func wrong(field, reason string) error {
	return errors.WithStack(&ValueError{Field: field, Reason: reason})
}

// DecodeTickets splits an answer into the contents of its tickets, each of which its reader judges alone.
func DecodeTickets(content []byte) (tickets [][]byte, err error) {
	defer func() { err = errors.Wrap(err, "decode tickets") }()
	if len(content) > MaxAnswer {
		return nil, wrong("tickets", "is longer than "+strconv.Itoa(MaxAnswer)+" bytes")
	}
	var answer struct {
		Tickets []json.RawMessage `json:"tickets"`
	}
	if err = json.Unmarshal(content, &answer); err != nil {
		return nil, wrong("tickets", err.Error())
	}
	if len(answer.Tickets) > maxTickets {
		return nil, wrong("tickets", "has more than "+strconv.Itoa(maxTickets)+" entries")
	}
	for _, t := range answer.Tickets {
		tickets = append(tickets, t)
	}
	return tickets, nil
}

// DecodeSnapshot checks that an answer is a snapshot that can be folded and returns it unchanged.
func DecodeSnapshot(content []byte) (snapshot []byte, err error) {
	if _, err = ticket.DecodeSnapshot(content); err != nil {
		return nil, errors.Wrap(err, "decode answer")
	}
	return content, nil
}

// DecodeList reads a list and leaves out instances that are wrong, each with a ValueError in faults.
func DecodeList(content []byte) (l List, faults []error, err error) {
	defer func() { err = errors.Wrap(err, "decode list") }()
	if len(content) > MaxAnswer {
		return List{}, nil, wrong("instances", "is longer than "+strconv.Itoa(MaxAnswer)+" bytes")
	}
	var answer struct {
		Version   uint64            `json:"version"`
		Instances []json.RawMessage `json:"instances"`
	}
	if err = json.Unmarshal(content, &answer); err != nil {
		return List{}, nil, wrong("instances", err.Error())
	}
	if len(answer.Instances) > MaxInstances {
		return List{}, nil, wrong("instances", "has more than "+strconv.Itoa(MaxInstances)+" entries")
	}
	l = List{Version: answer.Version, Instances: make([]Instance, 0, len(answer.Instances))}
	seen := make(map[string]bool, len(answer.Instances))
	for n, one := range answer.Instances {
		i, failed := decodeInstance("instances["+strconv.Itoa(n)+"]", one, seen)
		if failed != nil {
			faults = append(faults, failed)
			continue
		}
		l.Instances = append(l.Instances, i)
	}
	return l, faults, nil
}

func decodeInstance(field string, content []byte, seen map[string]bool) (i Instance, err error) {
	if err = json.Unmarshal(content, &i); err != nil {
		return i, wrong(field, err.Error())
	}
	if err = Check(field, i); err != nil {
		return i, err
	}
	if seen[i.Name] {
		return i, wrong(field+".name", "stands twice")
	}
	seen[i.Name] = true
	return i, nil
}

// Check returns a ValueError for an instance that no process could use.
func Check(field string, i Instance) error {
	for _, w := range []struct{ name, value string }{
		{"name", i.Name}, {"zone", i.Zone}, {"region", i.Region}, {"service", i.Service},
	} {
		if len(w.value) > maxWord {
			return wrong(field+"."+w.name, "is longer than "+strconv.Itoa(maxWord)+" bytes")
		}
	}
	if i.Name == "" || i.Zone == "" {
		return wrong(field, "lacks name or zone")
	}
	if i.Role != EntryRole && i.Role != AgentRole {
		return wrong(field+".role", "must be entry or agent")
	}
	if i.State != Live && i.State != Leaving {
		return wrong(field+".state", "must be live or leaving")
	}
	if _, err := netip.ParseAddrPort(i.Peer); err != nil {
		return wrong(field+".peer", "must be an IP and port")
	}
	if _, err := netip.ParseAddrPort(i.Caller); err != nil && i.Role == EntryRole {
		return wrong(field+".caller", "must be an IP and port")
	}
	return nil
}
