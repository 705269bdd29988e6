package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strings"

	"github.com/invopop/jsonschema"
)

// formats maps each string format of the schema to its check and the text that describes allowed values.
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

// optional reports whether an empty string is allowed, because the field is not required and has no default.
func (f field) optional() bool {
	return !f.required && f.property.Default == nil
}

// valid reports whether the value of f satisfies its schema.
func (f field) valid() bool {
	switch f.value.Kind() {
	case reflect.String:
		return f.value.Len() == 0 && f.optional() || validText(f.value.String(), f.property)
	case reflect.Slice:
		for i := range f.value.Len() {
			if !validText(f.value.Index(i).String(), f.property.Items) {
				return false
			}
		}
		return true
	case reflect.Float64:
		return validNumber(f.value.Float(), f.property)
	default:
		return validNumber(float64(f.value.Int()), f.property)
	}
}

func validText(v string, p *jsonschema.Schema) bool {
	if len(p.Enum) > 0 && !slices.Contains(p.Enum, any(v)) {
		return false
	}
	if f, found := formats[p.Format]; found && !f.valid(v) {
		return false
	}
	if uint64(len(v)) < minLength(p) || p.MaxLength != nil && uint64(len(v)) > *p.MaxLength {
		return false
	}
	return p.Pattern == "" || regexp.MustCompile(p.Pattern).MatchString(v)
}

// minLength returns the minimum length of a string in bytes, which is 1 unless the schema sets another.
func minLength(p *jsonschema.Schema) uint64 {
	if p.MinLength != nil {
		return *p.MinLength
	}
	return 1
}

func validNumber(v float64, p *jsonschema.Schema) bool {
	low, lowErr := p.Minimum.Float64()
	high, highErr := p.Maximum.Float64()
	return lowErr == nil && highErr == nil && v >= low && v <= high
}

// allowed returns a description of the values that the field allows.
func (f field) allowed() string {
	switch f.value.Kind() {
	case reflect.String:
		text := allowedText(f.property)
		if f.optional() {
			text += ", or empty"
		}
		return text
	case reflect.Slice:
		return "a list, each " + allowedText(f.property.Items)
	default:
		return fmt.Sprintf("%s to %s", f.property.Minimum, f.property.Maximum)
	}
}

func allowedText(p *jsonschema.Schema) string {
	if len(p.Enum) > 0 {
		names := make([]string, 0, len(p.Enum))
		for _, a := range p.Enum {
			names = append(names, fmt.Sprint(a))
		}
		return "one of " + strings.Join(names, ", ")
	}
	if f, found := formats[p.Format]; found {
		return f.allowed
	}
	text := fmt.Sprintf("%d to %d characters", minLength(p), *p.MaxLength)
	if p.Pattern != "" {
		text += " matching " + p.Pattern
	}
	return text
}

// relation is a constraint between several settings.
type relation struct {
	field    string // path of the field that a violation names
	violated func(*Settings) bool
	allowed  string // description of the allowed values
}

var relations = []relation{
	{"timing.life", func(s *Settings) bool { return s.Timing.BindingLifetime < s.Timing.TTL }, "at least timing.ttl"},
	{"timing.keep", func(s *Settings) bool { return s.Timing.OutcomeRetention <= s.Timing.BindingLifetime }, "more than timing.life"},
	{"timing.drain", func(s *Settings) bool { return s.Timing.DrainPeriod < s.Timing.TTL }, "at least timing.ttl"},
	{"certs.cert", certsIncomplete, "all of certs.cert, certs.key and certs.ca, or none of them"},
	{"backend.service", func(s *Settings) bool { return s.Backend.URL != "" && s.Backend.Service == "" }, "a service where backend.url is set"},
	{"backend.kind", func(s *Settings) bool { return s.Backend.URL != "" && s.Backend.Kind == "" }, "engine or plain where backend.url is set"},
	{"peer", peerUnprotected, "one IP address of the instance, unless key or certs are set"},
}

func certsIncomplete(s *Settings) bool {
	some := s.Certs.Cert != "" || s.Certs.Key != "" || s.Certs.CA != ""
	all := s.Certs.Cert != "" && s.Certs.Key != "" && s.Certs.CA != ""
	return some && !all
}

func peerUnprotected(s *Settings) bool {
	a, err := netip.ParseAddrPort(s.Peer)
	return err == nil && a.Addr().IsUnspecified() && s.SharedKey == "" && s.Certs.Cert == ""
}

// CheckRole returns an InvalidError if the settings do not fit the role, which is entry or agent.
func (s *Settings) CheckRole(role string) error {
	source := "settings of " + role
	switch {
	case role == "agent" && s.Backend.URL == "":
		return &InvalidError{Violations: []FieldViolation{{source, "backend.url", "nothing", formats["uri"].allowed}}}
	case role == "entry" && s.Backend.URL != "":
		return &InvalidError{Violations: []FieldViolation{{source, "backend.url", s.Backend.URL, "nothing: only an agent has a backend server"}}}
	}
	return nil
}
