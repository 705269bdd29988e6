package config

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Prefix begins the names of the environment variables that set values, as in CARAWAYPICK_TIMING_TTL.
const Prefix = "CARAWAYPICK_"

// MaxFile is the largest settings file in bytes.
const MaxFile = 1 << 20

// Hidden stands for a secret value in output.
const Hidden = "(hidden)"

// defaultSource is the source of values that nobody gave.
const defaultSource = "default"

// Override is a value that a command-line flag gives to a field.
type Override struct {
	Flag  string
	Field string
	Value string
}

// Origin says where the value of one field came from.
type Origin struct {
	Field  string `json:"field"`
	Value  string `json:"value"`
	Source string `json:"source"`
}

// Origins holds the origin of every field in the order of the schema.
type Origins []Origin

// Load returns the settings of the file, then the environment, then the overrides, and where each value came from.
//
// All faults are returned at once in an InvalidError.
func Load(file string, environ []string, overrides []Override) (s Settings, o Origins, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, "load settings")
		}
	}()
	content, err := readFile(file)
	if err != nil {
		return s, nil, err
	}
	l := newLoader()
	l.section(file, "", content)
	l.environ(environ)
	l.overrides(overrides)
	l.check()
	if len(l.faults) > 0 {
		return Settings{}, nil, &InvalidError{Faults: l.faults}
	}
	return *l.settings, l.origins(), nil
}

func readFile(name string) (content []byte, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	content, err = io.ReadAll(io.LimitReader(f, MaxFile+1))
	if err != nil {
		return nil, err
	}
	if len(content) > MaxFile {
		return nil, &InvalidError{Faults: []Fault{{name, "file", "more than 1048576 bytes", "at most 1048576 bytes"}}}
	}
	return content, nil
}

// loader collects values, their sources and faults.
type loader struct {
	settings *Settings
	fields   []field
	sources  map[string]string
	faults   []Fault
	bad      map[string]bool
}

func newLoader() *loader {
	s := Defaults()
	return &loader{settings: &s, fields: fields(&s, schema()), sources: map[string]string{}, bad: map[string]bool{}}
}

func (l *loader) refuse(source, path, value, allowed string) {
	l.bad[path] = true
	l.faults = append(l.faults, Fault{Source: source, Field: path, Value: value, Allowed: allowed})
}

// section reads one JSON object whose fields begin with prefix.
func (l *loader) section(source, prefix string, content []byte) {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(content, &values); err != nil || values == nil {
		l.refuse(source, strings.TrimSuffix("settings."+prefix, "."), clip(content), "a JSON object")
		return
	}
	for _, name := range sortedKeys(values) {
		l.member(source, prefix+name, values[name])
	}
}

func (l *loader) member(source, path string, content json.RawMessage) {
	if i := l.find(path); i >= 0 {
		l.set(source, l.fields[i], content)
		return
	}
	if len(l.below(path+".")) > 0 {
		l.section(source, path+".", content)
		return
	}
	parent := path[:strings.LastIndex(path, ".")+1]
	l.refuse(source, path, "an unknown field", "one of "+strings.Join(l.below(parent), ", "))
}

// set decodes content into a copy first, so that a fault leaves the field as it was.
func (l *loader) set(source string, f field, content []byte) {
	fresh := reflect.New(f.value.Type())
	if err := decode(content, fresh.Interface()); err != nil {
		l.refuse(source, f.path, f.shown(clip(content)), "a JSON "+f.property.Type)
		return
	}
	f.value.Set(fresh.Elem())
	l.sources[f.path] = source
}

func decode(content []byte, target any) error {
	if bytes.Equal(bytes.TrimSpace(content), []byte("null")) {
		return errors.New("null is no value")
	}
	return json.Unmarshal(content, target)
}

func (l *loader) environ(environ []string) {
	for _, line := range environ {
		name, value, _ := strings.Cut(line, "=")
		if !strings.HasPrefix(name, Prefix) {
			continue
		}
		path := strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(name, Prefix)), "_", ".")
		l.text("environment "+name, path, value)
	}
}

func (l *loader) overrides(overrides []Override) {
	for _, o := range overrides {
		l.text("flag "+o.Flag, o.Field, o.Value)
	}
}

// text sets a field from a string that is not JSON; lists are separated by commas.
func (l *loader) text(source, path, value string) {
	i := l.find(path)
	if i < 0 {
		l.refuse(source, path, "an unknown field", "one of "+strings.Join(l.below(""), ", "))
		return
	}
	f := l.fields[i]
	content := []byte(value)
	switch f.value.Kind() {
	case reflect.String:
		content, _ = json.Marshal(value)
	case reflect.Slice:
		content, _ = json.Marshal(split(value))
	}
	l.set(source, f, content)
}

func split(value string) []string {
	if value == "" {
		return []string{}
	}
	return strings.Split(value, ",")
}

// check holds every field against the schema, then the relations between those that are good.
func (l *loader) check() {
	for _, f := range l.fields {
		if !l.bad[f.path] && !f.good() {
			l.refuse(l.source(f.path), f.path, f.text(), f.allowed())
		}
	}
	if len(l.faults) > 0 {
		return
	}
	for _, r := range relations {
		if r.broken(l.settings) {
			l.refuse(l.source(r.field), r.field, l.fields[l.find(r.field)].text(), r.allowed)
		}
	}
}

func (l *loader) origins() Origins {
	o := make(Origins, 0, len(l.fields))
	for _, f := range l.fields {
		o = append(o, Origin{Field: f.path, Value: f.text(), Source: l.source(f.path)})
	}
	return o
}

func (l *loader) source(path string) string {
	if s, found := l.sources[path]; found {
		return s
	}
	return defaultSource
}

func (l *loader) find(path string) int {
	return slices.IndexFunc(l.fields, func(f field) bool { return f.path == path })
}

// below returns the paths that begin with prefix.
func (l *loader) below(prefix string) []string {
	var paths []string
	for _, f := range l.fields {
		if strings.HasPrefix(f.path, prefix) {
			paths = append(paths, f.path)
		}
	}
	return paths
}

// text returns the value of f as JSON, or a placeholder for a secret.
func (f field) text() string {
	content, err := json.Marshal(f.value.Interface())
	if err != nil {
		return f.shown(f.value.String())
	}
	return f.shown(string(content))
}

func (f field) shown(value string) string {
	if f.property.WriteOnly && value != `""` {
		return Hidden
	}
	return value
}

// maxShown is the length in bytes at which a value is cut in a fault.
const maxShown = 80

func clip(content []byte) string {
	s := strings.ToValidUTF8(string(content), "?")
	if len(s) > maxShown {
		return strings.ToValidUTF8(s[:maxShown], "") + "..."
	}
	return s
}

func sortedKeys(values map[string]json.RawMessage) []string {
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
