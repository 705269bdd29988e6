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
	"carawaypick/internal/lifecycle"
	"carawaypick/internal/operator"
	"carawaypick/internal/telemetry"
)

const settings = `{"name":"e1","zone":"lima-a","listen":"127.0.0.1:8001","peer":"127.0.0.1:7001",
	"key":"sixteen letters!","platform":{"tickets":"http://127.0.0.1:1","list":"http://127.0.0.1:1"}}`

// commandOutput is the exit code and output of a command.
type commandOutput struct {
	code           int
	stdout, stderr string
}

func runCommand(a *app, args ...string) commandOutput {
	var stdout, stderr bytes.Buffer
	a.stdout, a.stderr, a.stdin = &stdout, &stderr, strings.NewReader("")
	code := a.run(args)
	return commandOutput{code, stdout.String(), stderr.String()}
}

// assertCommand asserts the exit code and that the output contains part.
func assertCommand(t *testing.T, o commandOutput, code int, part string) {
	t.Helper()
	assert.Equal(t, code, o.code, o.stderr)
	assert.Contains(t, o.stdout+o.stderr, part)
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file.json")
	require.NoError(t, os.WriteFile(name, []byte(content), 0o600))
	return name
}

// serveProcess serves the operator routes of one process until the test ends and returns its address.
func serveProcess(t *testing.T, s operator.Status, decisions ...operator.Decision) string {
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
	done := lifecycle.Start(context.Background(), func(context.Context) error { return app.Listener(l) })
	t.Cleanup(func() {
		require.NoError(t, app.Shutdown())
		require.NoError(t, <-done)
	})
	return l.Addr().String()
}

func TestUsage(t *testing.T) {
	for _, c := range (&app{}).commands() {
		t.Run("help of "+c.name, func(t *testing.T) {
			assertCommand(t, runCommand(&app{}, c.name, "--help"), ExitOK, "Exit codes: 0 done;")
		})
	}
	t.Run("no command", func(t *testing.T) { assertCommand(t, runCommand(&app{}), ExitUsage, "one command of") })
	t.Run("an unknown command", func(t *testing.T) { assertCommand(t, runCommand(&app{}, "start"), ExitUsage, "start") })
	t.Run("an unknown flag", func(t *testing.T) { assertCommand(t, runCommand(&app{}, "status", "--x"), ExitUsage, "x") })
	t.Run("no process to query", func(t *testing.T) { assertCommand(t, runCommand(&app{}, "status"), ExitUsage, "--ask is needed") })
	t.Run("an invalid number", func(t *testing.T) { assertCommand(t, runCommand(&app{}, "wait", "four"), ExitUsage, "four") })
	t.Run("no settings", func(t *testing.T) { assertCommand(t, runCommand(&app{}, "entry"), ExitUsage, "--settings is needed") })
	t.Run("a field without a value", func(t *testing.T) {
		assertCommand(t, runCommand(&app{}, "settings", "--settings=x", "--set=name"), ExitUsage, "FIELD=VALUE")
	})
}

func TestSettingsCommand(t *testing.T) {
	name := writeFile(t, settings)
	t.Run("shows values and sources without secrets", func(t *testing.T) {
		a := &app{environ: []string{"CARAWAYPICK_TIMING_TTL=400"}}
		o := runCommand(a, "settings", "--settings", name, "--zone=lima-b", "--set=limits.queue=9", "--json")
		var origins config.Origins
		require.NoError(t, json.Unmarshal([]byte(o.stdout), &origins))
		assert.Contains(t, origins, config.Origin{Field: "zone", Value: `"lima-b"`, Source: "flag --zone"})
		assert.Contains(t, origins, config.Origin{Field: "limits.queue", Value: "9", Source: "flag --set"})
		assert.Contains(t, origins, config.Origin{Field: "timing.ttl", Value: "400", Source: "environment CARAWAYPICK_TIMING_TTL"})
		assert.NotContains(t, o.stdout, "sixteen")
	})
	t.Run("a table of allowed values", func(t *testing.T) {
		assertCommand(t, runCommand(&app{}, "settings"), ExitOK, "timing.ttl")
	})
	t.Run("a bad value", func(t *testing.T) {
		assertCommand(t, runCommand(&app{}, "settings", "--settings", name, "--set=limits.queue=0"), ExitFailed, "flag --set: limits.queue: got 0, allowed 1 to 100000")
	})
	t.Run("schema and version", func(t *testing.T) {
		assertCommand(t, runCommand(&app{}, "schema"), ExitOK, `"title": "carawaypick settings"`)
		assertCommand(t, runCommand(&app{}, "version"), ExitOK, "carawaypick ")
	})
}

func TestOperatorCommands(t *testing.T) {
	address := serveProcess(t, operator.Status{Name: "e1", Role: "entry", Number: 4}, operator.Decision{Key: "k", Kind: "choose", Backend: "a1"})
	other := serveProcess(t, operator.Status{Name: "e2"})
	dead := "127.0.0.1:1"
	t.Run("status", func(t *testing.T) {
		assertCommand(t, runCommand(&app{}, "status", "--ask", address), ExitOK, "e1")
		assertCommand(t, runCommand(&app{}, "status", "--ask", address, "--json"), ExitOK, `"number": 4`)
		assertCommand(t, runCommand(&app{}, "status", "--ask", address+","+dead), ExitFailed, "1 of 2 processes did not answer")
		assertCommand(t, runCommand(&app{}, "status", "--ask", dead), ExitUnreachable, "cannot reach any process")
		assertCommand(t, runCommand(&app{}, "status", "--list", "http://"+dead), ExitUnreachable, "cannot reach")
	})
	t.Run("wait", func(t *testing.T) {
		assertCommand(t, runCommand(&app{}, "wait", "4", "--ask", address), ExitOK, "ticket 4 is in force everywhere")
		assertCommand(t, runCommand(&app{}, "wait", "5", "--timeout=1", "--ask", address), ExitFailed, "at ticket 4")
	})
	t.Run("explain from logs", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "log")
		require.NoError(t, os.WriteFile(path, []byte(`{"msg":"request","id":"k","name":"front-1","reason":"dial","ts":"2026-01-01T00:00:00Z"}`), 0o600))
		assertCommand(t, runCommand(&app{}, "explain", "k", "--logs", path), ExitOK, "reason=dial")
		assertCommand(t, runCommand(&app{}, "explain", "absent", "--logs", path), ExitFailed, "none of 1 lines is about it")
		assertCommand(t, runCommand(&app{}, "explain", "k", "--logs", path+"x"), ExitFailed, "no such file")
	})
	t.Run("explain", func(t *testing.T) {
		assertCommand(t, runCommand(&app{}, "explain", "k", "--ask", address), ExitOK, "a1")
		assertCommand(t, runCommand(&app{}, "explain", "k", "--ask", other), ExitFailed, "no process holds a decision")
		assertCommand(t, runCommand(&app{}, "explain", "k", "--ask", dead), ExitUnreachable, "cannot reach")
	})
	t.Run("check and diff", func(t *testing.T) {
		out := writeFile(t, `{"number":5,"author":"desk","objects":{"zones":{"lima-a":{"state":"out"}}}}`)
		old := writeFile(t, `{"number":4,"author":"desk","objects":{}}`)
		bad := writeFile(t, `{"number":5,"author":"desk","objects":{"zones":{"lima-a":{"state":"half"}}}}`)
		assertCommand(t, runCommand(&app{}, "check", out, "--ask", address), ExitOK, "ticket 5 is valid and changes 1 fields")
		assertCommand(t, runCommand(&app{}, "diff", out, "--ask", address), ExitOK, `~ zones.lima-a.state "in" -> "out"`)
		assertCommand(t, runCommand(&app{}, "diff", out, "--ask", address, "--json"), ExitOK, `"to": "\"out\""`)
		assertCommand(t, runCommand(&app{}, "check", old, "--ask", address), ExitFailed, "got 4, allowed above 4")
		assertCommand(t, runCommand(&app{}, "check", bad, "--ask", address), ExitFailed, "zones.lima-a.state")
		assertCommand(t, runCommand(&app{}, "check", out, "--ask", dead), ExitUnreachable, "cannot reach")
		assertCommand(t, runCommand(&app{}, "check", out), ExitUsage, "--tickets and --ask")
	})
}

func TestRole(t *testing.T) {
	name := writeFile(t, settings)
	t.Run("a signal ends the role through its context", func(t *testing.T) {
		signalsItself := func(ctx context.Context, s config.Settings, _ *telemetry.Telemetry) error {
			assert.Equal(t, "e9", s.Name)
			require.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
			<-ctx.Done()
			return nil
		}
		a := &app{roles: map[string]Role{"entry": signalsItself}}
		o := runCommand(a, "entry", "--settings", name, "--name=e9")
		assertCommand(t, o, ExitOK, `"msg":"started"`)
		assert.Contains(t, o.stderr, `"msg":"ended"`)
		assert.NotContains(t, o.stderr, "not checked")
	})
	t.Run("an open peer address is logged", func(t *testing.T) {
		a := &app{roles: map[string]Role{"entry": func(context.Context, config.Settings, *telemetry.Telemetry) error { return nil }}}
		assertCommand(t, runCommand(a, "entry", "--settings", name, "--set=key="), ExitOK, "callers of the peer address are not checked")
	})
	t.Run("an error of the role gives the exit code", func(t *testing.T) {
		a := &app{roles: map[string]Role{"entry": func(context.Context, config.Settings, *telemetry.Telemetry) error { return errors.New("port taken") }}}
		assertCommand(t, runCommand(a, "entry", "--settings", name), ExitFailed, "port taken")
	})
	t.Run("an agent needs a backend server", func(t *testing.T) {
		assertCommand(t, runCommand(&app{}, "agent", "--settings", name), ExitFailed, "backend.url")
	})
}
