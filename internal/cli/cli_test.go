package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/config"
	"carawaypick/internal/kernel"
	"carawaypick/internal/operator"
	"carawaypick/internal/telemetry"
)

const settings = `{"name":"e1","zone":"lima-a","listen":"127.0.0.1:8001","peer":"127.0.0.1:7001",
	"key":"sixteen letters!","platform":{"tickets":"http://127.0.0.1:1","list":"http://127.0.0.1:1"}}`

// output is what a command wrote and how it ended.
type output struct {
	code           int
	stdout, stderr string
}

func command(a *app, args ...string) output {
	var stdout, stderr bytes.Buffer
	a.stdout, a.stderr, a.stdin = &stdout, &stderr, strings.NewReader("")
	code := a.run(args)
	return output{code, stdout.String(), stderr.String()}
}

// ends asserts the exit code and a part of what the command wrote.
func ends(t *testing.T, o output, code int, part string) {
	t.Helper()
	assert.Equal(t, code, o.code, o.stderr)
	assert.Contains(t, o.stdout+o.stderr, part)
}

func file(t *testing.T, content string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file.json")
	require.NoError(t, os.WriteFile(name, []byte(content), 0o600))
	return name
}

// process serves one process's operator routes until the test ends and returns its address.
func process(t *testing.T, s operator.Status, decisions ...operator.Decision) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	app := operator.NewApp(config.Defaults().Limits, operator.Views{
		Status:  func() operator.Status { return s },
		Explain: func(string) []operator.Decision { return decisions },
		State: func() ([]byte, error) {
			return []byte(`{"number":4,"objects":{"zones":{"lima-a":{"state":"in"}}}}`), nil
		},
	})
	done := kernel.Start(context.Background(), func(context.Context) error { return app.Listener(l) })
	t.Cleanup(func() {
		require.NoError(t, app.Shutdown())
		require.NoError(t, <-done)
	})
	return l.Addr().String()
}

func TestUsage(t *testing.T) {
	for _, c := range (&app{}).commands() {
		t.Run("help of "+c.name, func(t *testing.T) {
			ends(t, command(&app{}, c.name, "--help"), ExitDone, "Exit codes: 0 done;")
		})
	}
	t.Run("no command", func(t *testing.T) { ends(t, command(&app{}), ExitUsage, "one command of") })
	t.Run("an unknown command", func(t *testing.T) { ends(t, command(&app{}, "start"), ExitUsage, "start") })
	t.Run("an unknown flag", func(t *testing.T) { ends(t, command(&app{}, "status", "--x"), ExitUsage, "x") })
	t.Run("nobody to ask", func(t *testing.T) { ends(t, command(&app{}, "status"), ExitUsage, "--ask is needed") })
	t.Run("a number that is none", func(t *testing.T) { ends(t, command(&app{}, "wait", "four"), ExitUsage, "four") })
	t.Run("no settings", func(t *testing.T) { ends(t, command(&app{}, "entry"), ExitUsage, "--settings is needed") })
	t.Run("half of a pair", func(t *testing.T) {
		ends(t, command(&app{}, "settings", "--settings=x", "--set=name"), ExitUsage, "FIELD=VALUE")
	})
}

func TestSettingsCommand(t *testing.T) {
	name := file(t, settings)
	t.Run("shows values and sources without secrets", func(t *testing.T) {
		a := &app{environ: []string{"CARAWAYPICK_TIMING_TTL=400"}}
		o := command(a, "settings", "--settings", name, "--zone=lima-b", "--set=limits.queue=9", "--json")
		var origins config.Origins
		require.NoError(t, json.Unmarshal([]byte(o.stdout), &origins))
		assert.Contains(t, origins, config.Origin{Field: "zone", Value: `"lima-b"`, Source: "flag --zone"})
		assert.Contains(t, origins, config.Origin{Field: "limits.queue", Value: "9", Source: "flag --set"})
		assert.Contains(t, origins, config.Origin{Field: "timing.ttl", Value: "400", Source: "environment CARAWAYPICK_TIMING_TTL"})
		assert.NotContains(t, o.stdout, "sixteen")
	})
	t.Run("a table of what fields take", func(t *testing.T) {
		ends(t, command(&app{}, "settings"), ExitDone, "timing.ttl")
	})
	t.Run("a bad value", func(t *testing.T) {
		ends(t, command(&app{}, "settings", "--settings", name, "--set=limits.queue=0"), ExitRefused, "flag --set: limits.queue: got 0, allowed 1 to 100000")
	})
	t.Run("schema and version", func(t *testing.T) {
		ends(t, command(&app{}, "schema"), ExitDone, `"title": "carawaypick settings"`)
		ends(t, command(&app{}, "version"), ExitDone, "carawaypick ")
	})
}

func TestDesk(t *testing.T) {
	address := process(t, operator.Status{Name: "e1", Role: "entry", Number: 4}, operator.Decision{Key: "k", Kind: "choose", Backend: "a1"})
	silent := process(t, operator.Status{Name: "e2"})
	dead := "127.0.0.1:1"
	t.Run("status", func(t *testing.T) {
		ends(t, command(&app{}, "status", "--ask", address), ExitDone, "e1")
		ends(t, command(&app{}, "status", "--ask", address, "--json"), ExitDone, `"number": 4`)
		ends(t, command(&app{}, "status", "--ask", address+","+dead), ExitRefused, "1 of 2 processes did not answer")
		ends(t, command(&app{}, "status", "--ask", dead), ExitUnreachable, "cannot reach any process")
		ends(t, command(&app{}, "status", "--list", "http://"+dead), ExitUnreachable, "cannot reach")
	})
	t.Run("wait", func(t *testing.T) {
		ends(t, command(&app{}, "wait", "4", "--ask", address), ExitDone, "ticket 4 is in force everywhere")
		ends(t, command(&app{}, "wait", "5", "--timeout=1", "--ask", address), ExitRefused, "at ticket 4")
	})
	t.Run("explain from logs", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "log")
		require.NoError(t, os.WriteFile(path, []byte(`{"msg":"request","id":"k","name":"front-1","reason":"dial","ts":"2026-01-01T00:00:00Z"}`), 0o600))
		ends(t, command(&app{}, "explain", "k", "--logs", path), ExitDone, "reason=dial")
		ends(t, command(&app{}, "explain", "absent", "--logs", path), ExitRefused, "none of 1 lines is about it")
		ends(t, command(&app{}, "explain", "k", "--logs", path+"x"), ExitRefused, "no such file")
	})
	t.Run("explain", func(t *testing.T) {
		ends(t, command(&app{}, "explain", "k", "--ask", address), ExitDone, "a1")
		ends(t, command(&app{}, "explain", "k", "--ask", silent), ExitRefused, "no process holds a decision")
		ends(t, command(&app{}, "explain", "k", "--ask", dead), ExitUnreachable, "cannot reach")
	})
	t.Run("check and diff", func(t *testing.T) {
		out := file(t, `{"number":5,"author":"desk","objects":{"zones":{"lima-a":{"state":"out"}}}}`)
		old := file(t, `{"number":4,"author":"desk","objects":{}}`)
		bad := file(t, `{"number":5,"author":"desk","objects":{"zones":{"lima-a":{"state":"half"}}}}`)
		ends(t, command(&app{}, "check", out, "--ask", address), ExitDone, "ticket 5 is valid and changes 1 fields")
		ends(t, command(&app{}, "diff", out, "--ask", address), ExitDone, `~ zones.lima-a.state "in" -> "out"`)
		ends(t, command(&app{}, "diff", out, "--ask", address, "--json"), ExitDone, `"to": "\"out\""`)
		ends(t, command(&app{}, "check", old, "--ask", address), ExitRefused, "got 4, allowed above 4")
		ends(t, command(&app{}, "check", bad, "--ask", address), ExitRefused, "zones.lima-a.state")
		ends(t, command(&app{}, "check", out, "--ask", dead), ExitUnreachable, "cannot reach")
		ends(t, command(&app{}, "check", out), ExitUsage, "--tickets and --ask")
	})
}

func TestRole(t *testing.T) {
	name := file(t, settings)
	t.Run("a signal ends the role through its context", func(t *testing.T) {
		signalled := func(ctx context.Context, s config.Settings, _ *telemetry.Telemetry) error {
			assert.Equal(t, "e9", s.Name)
			require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
			<-ctx.Done()
			return nil
		}
		a := &app{roles: map[string]Role{"entry": signalled}}
		o := command(a, "entry", "--settings", name, "--name=e9")
		ends(t, o, ExitDone, `"msg":"started"`)
		assert.Contains(t, o.stderr, `"msg":"ended"`)
		assert.NotContains(t, o.stderr, "not checked")
	})
	t.Run("an open peer address is logged", func(t *testing.T) {
		a := &app{roles: map[string]Role{"entry": func(context.Context, config.Settings, *telemetry.Telemetry) error { return nil }}}
		ends(t, command(a, "entry", "--settings", name, "--set=key="), ExitDone, "callers of the peer address are not checked")
	})
	t.Run("a fault of the role is the exit code", func(t *testing.T) {
		a := &app{roles: map[string]Role{"entry": func(context.Context, config.Settings, *telemetry.Telemetry) error { return errors.New("port taken") }}}
		ends(t, command(a, "entry", "--settings", name), ExitRefused, "port taken")
	})
	t.Run("an agent needs a backend server", func(t *testing.T) {
		ends(t, command(&app{}, "agent", "--settings", name), ExitRefused, "backend.url")
	})
}
