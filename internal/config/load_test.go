package config

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

const validSettings = `{"name":"e1","zone":"lima-a","listen":"127.0.0.1:8001","peer":"127.0.0.1:7001",
	"platform":{"tickets":"http://127.0.0.1:9001","list":"http://127.0.0.1:9002"},
	"key":"sixteen letters!","timing":{"ttl":2000}}`

func writeFile(t *testing.T, content string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(name, []byte(content), 0o600))
	return name
}

// assertInvalid asserts that loading fails with exactly these violations; the source "FILE" is replaced by the file name.
func assertInvalid(t *testing.T, content string, environ []string, want ...FieldViolation) {
	t.Helper()
	name := writeFile(t, content)
	for i := range want {
		if want[i].Source == "FILE" {
			want[i].Source = name
		}
	}
	_, _, err := Load(name, environ, nil)
	var invalid *InvalidError
	require.True(t, errors.As(err, &invalid), "got %v", err)
	assert.Equal(t, want, invalid.Violations)
	for _, f := range want {
		assert.Contains(t, err.Error(), f.String())
	}
}

func TestLoad(t *testing.T) {
	name := writeFile(t, validSettings)
	environ := []string{"HOME=/", "CARAWAYPICK_TIMING_TTL=3000", "CARAWAYPICK_SEEDS=127.0.0.1:1,127.0.0.1:2"}
	overrides := []Override{{Flag: "--zone", Field: "zone", Value: "lima-b"}}
	s, o, err := Load(name, environ, overrides)
	require.NoError(t, err)
	t.Run("later sources win", func(t *testing.T) {
		assert.Equal(t, "e1", s.Name)
		assert.Equal(t, 3*clock.Second, s.Timing.TTL)
		assert.Equal(t, "lima-b", s.Zone)
		assert.Equal(t, []string{"127.0.0.1:1", "127.0.0.1:2"}, s.Seeds)
		assert.Equal(t, Defaults().Limits, s.Limits)
	})
	t.Run("origins name each source", func(t *testing.T) {
		assert.Contains(t, o, Origin{Field: "name", Value: `"e1"`, Source: name})
		assert.Contains(t, o, Origin{Field: "timing.ttl", Value: "3000", Source: "environment CARAWAYPICK_TIMING_TTL"})
		assert.Contains(t, o, Origin{Field: "zone", Value: `"lima-b"`, Source: "flag --zone"})
		assert.Contains(t, o, Origin{Field: "timing.life", Value: "10000", Source: "default"})
		assert.Contains(t, o, Origin{Field: "key", Value: Hidden, Source: name})
	})
	t.Run("a missing file is not a violation", func(t *testing.T) {
		_, _, err := Load(name+".none", nil, nil)
		assert.ErrorIs(t, err, os.ErrNotExist)
	})
}

func TestLoadRejects(t *testing.T) {
	base := func(more string) string { return validSettings[:len(validSettings)-1] + "," + more + "}" }
	t.Run("a value out of range", func(t *testing.T) {
		assertInvalid(t, base(`"limits":{"body":1}`), nil, FieldViolation{"FILE", "limits.body", "1", "1024 to 67108864"})
	})
	t.Run("unknown fields", func(t *testing.T) {
		assertInvalid(t, base(`"log":{"lvl":"x"}`), nil, FieldViolation{"FILE", "log.lvl", "an unknown field", "one of log.level, log.file"})
	})
	t.Run("a wrong type", func(t *testing.T) {
		assertInvalid(t, base(`"limits":{"calls":"many"}`), nil, FieldViolation{"FILE", "limits.calls", `"many"`, "a JSON integer"})
	})
	t.Run("null", func(t *testing.T) {
		assertInvalid(t, base(`"region":null`), nil, FieldViolation{"FILE", "region", "null", "a JSON string"})
	})
	t.Run("an unknown variable", func(t *testing.T) {
		_, _, err := Load(writeFile(t, validSettings), []string{"CARAWAYPICK_TTL=1"}, nil)
		assert.ErrorContains(t, err, "environment CARAWAYPICK_TTL: ttl: got an unknown field")
	})
	t.Run("all violations at once", func(t *testing.T) {
		assertInvalid(t, `{"name":"E 1","zone":"a","listen":"localhost:1","peer":"127.0.0.1:7001","seeds":["x"],
			"platform":{"tickets":"ftp://h","list":"http://h"},"log":{"level":"loud"},"key":"short"}`,
			[]string{"CARAWAYPICK_TRACE_RATIO=2"},
			FieldViolation{"FILE", "name", `"E 1"`, "1 to 63 characters matching ^[a-z0-9][a-z0-9.-]*$"},
			FieldViolation{"FILE", "listen", `"localhost:1"`, formats["address"].allowed},
			FieldViolation{"FILE", "seeds", `["x"]`, "a list, each " + formats["address"].allowed},
			FieldViolation{"FILE", "key", Hidden, "16 to 256 characters, or empty"},
			FieldViolation{"FILE", "platform.tickets", `"ftp://h"`, formats["uri"].allowed},
			FieldViolation{"FILE", "log.level", `"loud"`, "one of debug, info, warn, error"},
			FieldViolation{"environment CARAWAYPICK_TRACE_RATIO", "trace.ratio", "2", "0 to 1"})
	})
	t.Run("a missing required field", func(t *testing.T) {
		assertInvalid(t, `{"name":"e1","zone":"a","listen":"127.0.0.1:1","platform":{"tickets":"http://h","list":"http://h"}}`, nil,
			FieldViolation{"default", "peer", `""`, formats["address"].allowed})
	})
	t.Run("not an object", func(t *testing.T) {
		assertInvalid(t, `[]`, nil,
			FieldViolation{"FILE", "settings", "[]", "a JSON object"},
			FieldViolation{"default", "name", `""`, "1 to 63 characters matching ^[a-z0-9][a-z0-9.-]*$"},
			FieldViolation{"default", "zone", `""`, "1 to 63 characters matching ^[a-z0-9][a-z0-9.-]*$"},
			FieldViolation{"default", "listen", `""`, formats["address"].allowed},
			FieldViolation{"default", "peer", `""`, formats["address"].allowed},
			FieldViolation{"default", "platform.tickets", `""`, formats["uri"].allowed},
			FieldViolation{"default", "platform.list", `""`, formats["uri"].allowed})
	})
	t.Run("outcome retention not above the binding lifetime", func(t *testing.T) {
		assertInvalid(t, base(`"timing":{"life":5000,"keep":5000}`), nil, FieldViolation{"FILE", "timing.keep", "5000", "more than timing.life"})
	})
	t.Run("an incomplete set of certificate files", func(t *testing.T) {
		assertInvalid(t, base(`"certs":{"cert":"x"}`), nil,
			FieldViolation{"FILE", "certs.cert", `"x"`, "all of certs.cert, certs.key and certs.ca, or none of them"})
	})
}

func TestCheckRole(t *testing.T) {
	s := Defaults()
	assert.NoError(t, s.CheckRole("entry"))
	assert.ErrorContains(t, s.CheckRole("agent"), "backend.url")
	s.Backend.URL = "http://127.0.0.1:1"
	assert.NoError(t, s.CheckRole("agent"))
	assert.ErrorContains(t, s.CheckRole("entry"), "backend.url")
}

func TestSchema(t *testing.T) {
	want, err := Schema()
	require.NoError(t, err)
	got, err := os.ReadFile("../../settings.schema.json")
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got), "regenerate it: go run . schema > settings.schema.json")
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(validSettings), "TIMING_TTL", "1")
	f.Add([]byte(`{"name":[],"platform":{"tickets":{}}}`), "SEEDS", ",")
	f.Fuzz(func(t *testing.T, content []byte, name, value string) {
		file := writeFile(t, string(content))
		s, _, err := Load(file, []string{EnvPrefix + name + "=" + value}, nil)
		if err == nil {
			assert.NotEmpty(t, s.Name)
			return
		}
		var invalid *InvalidError
		require.True(t, errors.As(err, &invalid), "got %v", err)
		assert.NotEmpty(t, invalid.Violations)
	})
}

func TestDescribe(t *testing.T) {
	all := Describe()
	assert.Contains(t, all, Description{
		Field: "timing.ttl", Text: "Time in ms that callers keep a located address", Allowed: "100 to 600000", Default: "5000",
	})
	for _, d := range all {
		assert.NotEmpty(t, d.Text, d.Field)
		assert.NotEmpty(t, d.Allowed, d.Field)
	}
}
