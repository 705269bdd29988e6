package platform

import (
	"encoding/json"
	"net/netip"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/ticket"
)

// Bounds of one response of the platform.
const (
	// MaxResponseBytes is the longest response body in bytes.
	MaxResponseBytes = 8 << 20
	// MaxInstances is the largest number of instances in a list.
	MaxInstances = 20_000
	maxTickets   = 65_536 // largest number of tickets in a response
	maxNameBytes = 128    // longest name of an instance, zone, region or service in bytes
)

// Roles of an instance.
const (
	EntryRole = "entry"
	AgentRole = "agent"
)

// States of an instance.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is one process of the system in the instance list.
type Instance struct {
	Name    string `json:"name"`
	Role    string `json:"role"`    // entry, agent
	Peer    string `json:"peer"`    // IP and port of the gRPC server
	Caller  string `json:"caller"`  // IP and port of the HTTP server, empty for agents
	Zone    string `json:"zone"`    // availability zone
	Region  string `json:"region"`  // region of the zone
	Service string `json:"service"` // service of the backend server, empty for entries
	State   string `json:"state"`   // live, leaving
}

// List is the instance list; a higher version is newer.
type List struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// ValueError reports an invalid value in a response.
type ValueError struct {
	Field  string // path in the response, such as instances[3].zone
	Reason string
}

// Error returns the field and the reason.
func (e *ValueError) Error() string {
	return e.Field + ": " + e.Reason
}

func newValueError(field, reason string) error {
	return errors.WithStack(&ValueError{Field: field, Reason: reason})
}

// DecodeTickets splits a response into the contents of its tickets without validating them; it returns a ValueError if
// the response is malformed or exceeds a bound.
func DecodeTickets(content []byte) (tickets [][]byte, err error) {
	defer func() { err = errors.Wrap(err, "decode tickets") }()
	if len(content) > MaxResponseBytes {
		return nil, newValueError("tickets", "is longer than "+strconv.Itoa(MaxResponseBytes)+" bytes")
	}
	var answer struct {
		Tickets []json.RawMessage `json:"tickets"`
	}
	if err = json.Unmarshal(content, &answer); err != nil {
		return nil, newValueError("tickets", err.Error())
	}
	if len(answer.Tickets) > maxTickets {
		return nil, newValueError("tickets", "has more than "+strconv.Itoa(maxTickets)+" entries")
	}
	for _, t := range answer.Tickets {
		tickets = append(tickets, t)
	}
	return tickets, nil
}

// DecodeSnapshot returns the response unchanged if it is a valid snapshot.
func DecodeSnapshot(content []byte) (snapshot []byte, err error) {
	if _, err = ticket.DecodeSnapshot(content); err != nil {
		return nil, errors.Wrap(err, "decode answer")
	}
	return content, nil
}

// DecodeList decodes a list and skips invalid instances, adding a ValueError to invalid for each.
func DecodeList(content []byte) (l List, invalid []error, err error) {
	defer func() { err = errors.Wrap(err, "decode list") }()
	if len(content) > MaxResponseBytes {
		return List{}, nil, newValueError("instances", "is longer than "+strconv.Itoa(MaxResponseBytes)+" bytes")
	}
	var answer struct {
		Version   uint64            `json:"version"`
		Instances []json.RawMessage `json:"instances"`
	}
	if err = json.Unmarshal(content, &answer); err != nil {
		return List{}, nil, newValueError("instances", err.Error())
	}
	if len(answer.Instances) > MaxInstances {
		return List{}, nil, newValueError("instances", "has more than "+strconv.Itoa(MaxInstances)+" entries")
	}
	l = List{Version: answer.Version, Instances: make([]Instance, 0, len(answer.Instances))}
	seen := make(map[string]bool, len(answer.Instances))
	for n, raw := range answer.Instances {
		i, invalidErr := decodeInstance("instances["+strconv.Itoa(n)+"]", raw, seen)
		if invalidErr != nil {
			invalid = append(invalid, invalidErr)
			continue
		}
		l.Instances = append(l.Instances, i)
	}
	return l, invalid, nil
}

func decodeInstance(field string, content []byte, seen map[string]bool) (i Instance, err error) {
	if err = json.Unmarshal(content, &i); err != nil {
		return i, newValueError(field, err.Error())
	}
	if err = ValidateInstance(field, i); err != nil {
		return i, err
	}
	if seen[i.Name] {
		return i, newValueError(field+".name", "is listed twice")
	}
	seen[i.Name] = true
	return i, nil
}

// ValidateInstance returns a ValueError if the instance is invalid; field is the path of the instance in the response.
func ValidateInstance(field string, i Instance) error {
	for _, w := range []struct{ name, value string }{
		{"name", i.Name}, {"zone", i.Zone}, {"region", i.Region}, {"service", i.Service},
	} {
		if len(w.value) > maxNameBytes {
			return newValueError(field+"."+w.name, "is longer than "+strconv.Itoa(maxNameBytes)+" bytes")
		}
	}
	if i.Name == "" || i.Zone == "" {
		return newValueError(field, "lacks name or zone")
	}
	if i.Role != EntryRole && i.Role != AgentRole {
		return newValueError(field+".role", "must be entry or agent")
	}
	if i.State != StateLive && i.State != StateLeaving {
		return newValueError(field+".state", "must be live or leaving")
	}
	if _, err := netip.ParseAddrPort(i.Peer); err != nil {
		return newValueError(field+".peer", "must be an IP and port")
	}
	if _, err := netip.ParseAddrPort(i.Caller); err != nil && i.Role == EntryRole {
		return newValueError(field+".caller", "must be an IP and port")
	}
	return nil
}
