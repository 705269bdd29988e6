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

const good = `{"name":"e1","zone":"lima-a","listen":"127.0.0.1:8001","peer":"127.0.0.1:7001",
	"platform":{"tickets":"http://127.0.0.1:9001","list":"http://127.0.0.1:9002"},
	"key":"sixteen letters!","timing":{"ttl":2000}}`

func write(t *testing.T, content string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(name, []byte(content), 0o600))
	return name
}

// refused asserts that the settings are refused with exactly these faults; "FILE" stands for the file's name.
func refused(t *testing.T, content string, environ []string, want ...Fault) {
	t.Helper()
	name := write(t, content)
	for i := range want {
		if want[i].Source == "FILE" {
			want[i].Source = name
		}
	}
	_, _, err := Load(name, environ, nil)
	var invalid *InvalidError
	require.True(t, errors.As(err, &invalid), "got %v", err)
	assert.Equal(t, want, invalid.Faults)
	for _, f := range want {
		assert.Contains(t, err.Error(), f.String())
	}
}

func TestLoad(t *testing.T) {
	name := write(t, good)
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
	t.Run("a missing file is no fault of a value", func(t *testing.T) {
		_, _, err := Load(name+".none", nil, nil)
		assert.ErrorIs(t, err, os.ErrNotExist)
	})
}

func TestLoadRefuses(t *testing.T) {
	base := func(more string) string { return good[:len(good)-1] + "," + more + "}" }
	t.Run("a value out of range", func(t *testing.T) {
		refused(t, base(`"limits":{"body":1}`), nil, Fault{"FILE", "limits.body", "1", "1024 to 67108864"})
	})
	t.Run("unknown fields", func(t *testing.T) {
		refused(t, base(`"log":{"lvl":"x"}`), nil, Fault{"FILE", "log.lvl", "an unknown field", "one of log.level, log.file"})
	})
	t.Run("a wrong type", func(t *testing.T) {
		refused(t, base(`"limits":{"calls":"many"}`), nil, Fault{"FILE", "limits.calls", `"many"`, "a JSON integer"})
	})
	t.Run("null", func(t *testing.T) {
		refused(t, base(`"region":null`), nil, Fault{"FILE", "region", "null", "a JSON string"})
	})
	t.Run("an unknown variable", func(t *testing.T) {
		_, _, err := Load(write(t, good), []string{"CARAWAYPICK_TTL=1"}, nil)
		assert.ErrorContains(t, err, "environment CARAWAYPICK_TTL: ttl: got an unknown field")
	})
	t.Run("all faults at once", func(t *testing.T) {
		refused(t, `{"name":"E 1","zone":"a","listen":"localhost:1","peer":"127.0.0.1:7001","seeds":["x"],
			"platform":{"tickets":"ftp://h","list":"http://h"},"log":{"level":"loud"},"key":"short"}`,
			[]string{"CARAWAYPICK_TRACE_RATIO=2"},
			Fault{"FILE", "name", `"E 1"`, "1 to 63 characters matching ^[a-z0-9][a-z0-9.-]*$"},
			Fault{"FILE", "listen", `"localhost:1"`, formats["address"].allowed},
			Fault{"FILE", "seeds", `["x"]`, "a list, each " + formats["address"].allowed},
			Fault{"FILE", "key", Hidden, "16 to 256 characters, or empty"},
			Fault{"FILE", "platform.tickets", `"ftp://h"`, formats["uri"].allowed},
			Fault{"FILE", "log.level", `"loud"`, "one of debug, info, warn, error"},
			Fault{"environment CARAWAYPICK_TRACE_RATIO", "trace.ratio", "2", "0 to 1"})
	})
	t.Run("what is missing", func(t *testing.T) {
		refused(t, `{"name":"e1","zone":"a","listen":"127.0.0.1:1","platform":{"tickets":"http://h","list":"http://h"}}`, nil,
			Fault{"default", "peer", `""`, formats["address"].allowed})
	})
	t.Run("no object", func(t *testing.T) {
		refused(t, `[]`, nil,
			Fault{"FILE", "settings", "[]", "a JSON object"},
			Fault{"default", "name", `""`, "1 to 63 characters matching ^[a-z0-9][a-z0-9.-]*$"},
			Fault{"default", "zone", `""`, "1 to 63 characters matching ^[a-z0-9][a-z0-9.-]*$"},
			Fault{"default", "listen", `""`, formats["address"].allowed},
			Fault{"default", "peer", `""`, formats["address"].allowed},
			Fault{"default", "platform.tickets", `""`, formats["uri"].allowed},
			Fault{"default", "platform.list", `""`, formats["uri"].allowed})
	})
	t.Run("an outcome kept shorter than a binding lives", func(t *testing.T) {
		refused(t, base(`"timing":{"life":5000,"keep":5000}`), nil, Fault{"FILE", "timing.keep", "5000", "more than timing.life"})
	})
	t.Run("half of a certificate", func(t *testing.T) {
		refused(t, base(`"certs":{"cert":"x"}`), nil,
			Fault{"FILE", "certs.cert", `"x"`, "all of certs.cert, certs.key and certs.ca, or none of them"})
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
	assert.Equal(t, string(want), string(got), "write it anew: go run . schema > settings.schema.json")
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(good), "TIMING_TTL", "1")
	f.Add([]byte(`{"name":[],"platform":{"tickets":{}}}`), "SEEDS", ",")
	f.Fuzz(func(t *testing.T, content []byte, name, value string) {
		file := write(t, string(content))
		s, _, err := Load(file, []string{Prefix + name + "=" + value}, nil)
		if err == nil {
			assert.NotEmpty(t, s.Name)
			return
		}
		var invalid *InvalidError
		require.True(t, errors.As(err, &invalid), "got %v", err)
		assert.NotEmpty(t, invalid.Faults)
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
