package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strings"

	"github.com/invopop/jsonschema"
)

// formats holds what a string of each format must satisfy and how to say so.
var formats = map[string]struct {
	valid   func(string) bool
	allowed string
}{
	"address": {validAddress, "an IP address and a port from 1 to 65535, such as 127.0.0.1:7001"},
	"uri":     {validURL, "an http or https URL with a host, without query"},
}

func validAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}

func validURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Host == "" || u.RawQuery != "" {
		return false
	}
	return u.Scheme == "http" || u.Scheme == "https"
}

// fault returns what f takes, or an empty string where its value is good.
func (f field) fault() string {
	if !f.required && f.value.IsZero() && f.value.Kind() == reflect.String {
		return ""
	}
	switch f.value.Kind() {
	case reflect.String:
		return stringFault(f.value.String(), f.property)
	case reflect.Slice:
		return sliceFault(f.value, f.property)
	case reflect.Float64:
		return numberFault(f.value.Float(), f.property)
	default:
		return numberFault(float64(f.value.Int()), f.property)
	}
}

func sliceFault(v reflect.Value, p *jsonschema.Schema) string {
	for i := range v.Len() {
		if fault := stringFault(v.Index(i).String(), p.Items); fault != "" {
			return "a list, each " + fault
		}
	}
	return ""
}

func stringFault(v string, p *jsonschema.Schema) string {
	if len(p.Enum) > 0 {
		return enumFault(v, p.Enum)
	}
	if f, found := formats[p.Format]; found && !f.valid(v) {
		return f.allowed
	}
	if p.MinLength != nil && uint64(len(v)) < *p.MinLength || p.MaxLength != nil && uint64(len(v)) > *p.MaxLength {
		return lengths(p)
	}
	if p.Pattern != "" && !regexp.MustCompile(p.Pattern).MatchString(v) {
		return lengths(p) + " matching " + p.Pattern
	}
	return ""
}

func lengths(p *jsonschema.Schema) string {
	shortest := uint64(1)
	if p.MinLength != nil {
		shortest = *p.MinLength
	}
	return fmt.Sprintf("%d to %d characters", shortest, *p.MaxLength)
}

func enumFault(v string, values []any) string {
	names := make([]string, 0, len(values))
	for _, a := range values {
		if a == v {
			return ""
		}
		names = append(names, fmt.Sprint(a))
	}
	return "one of " + strings.Join(names, ", ")
}

func numberFault(v float64, p *jsonschema.Schema) string {
	low, _ := p.Minimum.Float64()
	high, _ := p.Maximum.Float64()
	if v >= low && v <= high {
		return ""
	}
	return span(p.Minimum, p.Maximum)
}

func span(low, high json.Number) string {
	return fmt.Sprintf("%s to %s", low, high)
}

// relation is a rule between several settings.
type relation struct {
	field   string
	broken  func(*Settings) bool
	allowed string
}

var relations = []relation{
	{"timing.life", func(s *Settings) bool { return s.Timing.Life < s.Timing.TTL }, "at least timing.ttl"},
	{"timing.keep", func(s *Settings) bool { return s.Timing.Keep <= s.Timing.Life }, "more than timing.life"},
	{"timing.drain", func(s *Settings) bool { return s.Timing.Drain < s.Timing.TTL }, "at least timing.ttl"},
	{"certs.cert", certsBroken, "all of certs.cert, certs.key and certs.ca, or none of them"},
	{"backend.service", func(s *Settings) bool { return s.Backend.URL != "" && s.Backend.Service == "" }, "a service where backend.url is set"},
	{"backend.kind", func(s *Settings) bool { return s.Backend.URL != "" && s.Backend.Kind == "" }, "engine or plain where backend.url is set"},
	{"peer", openPeer, "one IP address of the instance, unless key or certs are set"},
}

func certsBroken(s *Settings) bool {
	some := s.Certs.Cert != "" || s.Certs.Key != "" || s.Certs.Ca != ""
	all := s.Certs.Cert != "" && s.Certs.Key != "" && s.Certs.Ca != ""
	return some && !all
}

func openPeer(s *Settings) bool {
	a, err := netip.ParseAddrPort(s.Peer)
	return err == nil && a.Addr().IsUnspecified() && s.Key == "" && s.Certs.Cert == ""
}

// CheckRole refuses settings that a process of the role entry or agent can't work with.
func (s *Settings) CheckRole(role string) error {
	source := "settings of " + role
	switch {
	case role == "agent" && s.Backend.URL == "":
		return &InvalidError{Faults: []Fault{{source, "backend.url", "nothing", formats["uri"].allowed}}}
	case role == "entry" && s.Backend.URL != "":
		return &InvalidError{Faults: []Fault{{source, "backend.url", s.Backend.URL, "nothing: only an agent has a backend server"}}}
	}
	return nil
}
