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

// EnvPrefix is the prefix of the environment variables that set values, such as CARAWAYPICK_TIMING_TTL.
const EnvPrefix = "CARAWAYPICK_"

// MaxFileBytes is the maximum size of a settings file in bytes.
const MaxFileBytes = 1 << 20

// Hidden replaces a secret value in output.
const Hidden = "(hidden)"

// defaultSource is the source of values that are not set anywhere.
const defaultSource = "default"

// Override is a field value from a command-line flag.
type Override struct {
	Flag  string
	Field string
	Value string
}

// Origin is the value of one field and the source that set it.
type Origin struct {
	Field  string `json:"field"`
	Value  string `json:"value"`
	Source string `json:"source"`
}

// Origins lists the origin of every field in the order of the schema.
type Origins []Origin

// Load returns the settings and the origin of each value; environ takes precedence over the file, and overrides take
// precedence over both.
//
// One InvalidError lists the violations of all fields; relations between fields are checked only if every field is valid.
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
	l.loadObject(file, "", content)
	l.loadEnviron(environ)
	l.loadOverrides(overrides)
	l.check()
	if len(l.violations) > 0 {
		return Settings{}, nil, &InvalidError{Violations: l.violations}
	}
	return *l.settings, l.origins(), nil
}

func readFile(name string) (content []byte, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	content, err = io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(content) > MaxFileBytes {
		return nil, &InvalidError{Violations: []FieldViolation{{name, "file", "more than 1048576 bytes", "at most 1048576 bytes"}}}
	}
	return content, nil
}

// loader collects values, their sources and violations.
type loader struct {
	settings   *Settings
	fields     []field
	sources    map[string]string // source by field path, for fields that a source sets
	violations []FieldViolation
	invalid    map[string]bool // paths of the fields with a violation
}

func newLoader() *loader {
	s := Defaults()
	return &loader{settings: &s, fields: fields(&s, schema()), sources: map[string]string{}, invalid: map[string]bool{}}
}

func (l *loader) reject(source, path, value, allowed string) {
	l.invalid[path] = true
	l.violations = append(l.violations, FieldViolation{Source: source, Field: path, Value: value, Allowed: allowed})
}

// loadObject loads one JSON object whose field paths start with prefix.
func (l *loader) loadObject(source, prefix string, content []byte) {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(content, &values); err != nil || values == nil {
		l.reject(source, strings.TrimSuffix("settings."+prefix, "."), truncate(content), "a JSON object")
		return
	}
	for _, name := range sortedKeys(values) {
		l.loadField(source, prefix+name, values[name])
	}
}

func (l *loader) loadField(source, path string, content json.RawMessage) {
	if i := l.find(path); i >= 0 {
		l.set(source, l.fields[i], content)
		return
	}
	if len(l.pathsUnder(path+".")) > 0 {
		l.loadObject(source, path+".", content)
		return
	}
	parent := path[:strings.LastIndex(path, ".")+1]
	l.reject(source, path, "an unknown field", "one of "+strings.Join(l.pathsUnder(parent), ", "))
}

// set decodes content into a new value first, so that a decoding error leaves the field unchanged.
func (l *loader) set(source string, f field, content []byte) {
	fresh := reflect.New(f.value.Type())
	if err := decode(content, fresh.Interface()); err != nil {
		l.reject(source, f.path, f.redact(truncate(content)), "a JSON "+f.property.Type)
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

func (l *loader) loadEnviron(environ []string) {
	for _, line := range environ {
		name, value, _ := strings.Cut(line, "=")
		if !strings.HasPrefix(name, EnvPrefix) {
			continue
		}
		path := strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(name, EnvPrefix)), "_", ".")
		l.setText("environment "+name, path, value)
	}
}

func (l *loader) loadOverrides(overrides []Override) {
	for _, o := range overrides {
		l.setText("flag "+o.Flag, o.Field, o.Value)
	}
}

// setText sets a field from plain text instead of JSON; list elements are separated by commas.
func (l *loader) setText(source, path, value string) {
	i := l.find(path)
	if i < 0 {
		l.reject(source, path, "an unknown field", "one of "+strings.Join(l.pathsUnder(""), ", "))
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

// check validates every field against the schema and, if there are no violations so far, the relations between fields.
func (l *loader) check() {
	for _, f := range l.fields {
		if !l.invalid[f.path] && !f.valid() {
			l.reject(l.source(f.path), f.path, f.valueText(), f.allowed())
		}
	}
	if len(l.violations) > 0 {
		return
	}
	for _, r := range relations {
		if r.violated(l.settings) {
			l.reject(l.source(r.field), r.field, l.fields[l.find(r.field)].valueText(), r.allowed)
		}
	}
}

func (l *loader) origins() Origins {
	o := make(Origins, 0, len(l.fields))
	for _, f := range l.fields {
		o = append(o, Origin{Field: f.path, Value: f.valueText(), Source: l.source(f.path)})
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

// pathsUnder returns the field paths that start with prefix.
func (l *loader) pathsUnder(prefix string) []string {
	var paths []string
	for _, f := range l.fields {
		if strings.HasPrefix(f.path, prefix) {
			paths = append(paths, f.path)
		}
	}
	return paths
}

// valueText returns the value of f as JSON, or Hidden for a secret.
func (f field) valueText() string {
	content, err := json.Marshal(f.value.Interface())
	if err != nil {
		return f.redact(f.value.String())
	}
	return f.redact(string(content))
}

func (f field) redact(value string) string {
	if f.property.WriteOnly && value != `""` {
		return Hidden
	}
	return value
}

// maxShownBytes is the length at which a value is truncated in a violation.
const maxShownBytes = 80

func truncate(content []byte) string {
	s := strings.ToValidUTF8(string(content), "?")
	if len(s) > maxShownBytes {
		return strings.ToValidUTF8(s[:maxShownBytes], "") + "..."
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
