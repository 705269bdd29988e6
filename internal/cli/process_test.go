package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/config"
	"carawaypick/internal/operator"
	"carawaypick/internal/standin"
	"carawaypick/internal/standin/fleet"
)

// runAsBinaryEnv is the environment variable that makes the test binary run as carawaypick.
const runAsBinaryEnv = "TEST_AS_CARAWAYPICK"

func TestMain(m *testing.M) {
	if os.Getenv(runAsBinaryEnv) != "" {
		os.Exit(Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const baseTicket = `{"number":1,"author":"desk","objects":{
	"models":{"facts":{"version":"1","adapters":[],"weight":1}},
	"services":{"check":{"kind":"model","model":"facts","idempotent":true,"stall":500,"bears":16,"cold":8}},
	"teams":{"politica":{"share":1,"priority":9}}}}`

// startFleet starts one entry and two agents with engines, all with tracing, and returns them and their folder.
func startFleet(t *testing.T) (f *fleet.Fleet, folder string) {
	t.Helper()
	t.Setenv(runAsBinaryEnv, "1")
	binary, err := os.Executable()
	require.NoError(t, err)
	folder = t.TempDir()
	f, err = fleet.Open(fleet.Plan{
		Binary: binary, Folder: folder, Region: "test", Zones: []string{"lima-a"}, Entries: 1,
		Services: []fleet.Service{{Name: "check", Kind: fleet.EngineKind, Count: 2}},
		Settings: func(s *config.Settings) {
			s.Timing = fleet.QuickTiming()
			s.Trace = config.Trace{File: filepath.Join(folder, s.Name+".trace"), Ratio: 1}
		},
	})
	t.Cleanup(f.Close)
	require.NoError(t, err)
	require.NoError(t, f.Tickets.Publish([]byte(baseTicket)))
	require.NoError(t, f.Start(t.Context()))
	return f, folder
}

// retriedCall sends calls until one needs more than one attempt, and returns the result of that call.
func retriedCall(t *testing.T, f *fleet.Fleet) standin.CallResult {
	t.Helper()
	for _, e := range f.Engines {
		e.SetFault(func(fault *standin.EngineFault) { fault.CutIndex, fault.CutsLeft = 3, 1 })
	}
	c := standin.NewCaller("check", "lima-a", "politica", f.EntryAddresses()...)
	defer c.Close()
	for i := range 20 {
		call := standin.Call{ID: "retried-" + strconv.Itoa(i), Path: "/", Body: []byte(`{"prompt":"a claim","tokens":8}`), Idempotent: true, ResendNotRun: true}
		a := c.Do(t.Context(), call)
		require.Equal(t, standin.Complete, a.Outcome, a.Reason)
		if a.Attempt > 1 {
			return a
		}
	}
	t.Fatal("no call was retried")
	return standin.CallResult{}
}

// spanRecord is the part of a written span that the test checks.
type spanRecord struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Attributes  []struct {
		Key   string
		Value struct{ Value any }
	}
	Resource []struct {
		Key   string
		Value struct{ Value any }
	}
}

// readSpans returns the spans of all processes by trace ID.
func readSpans(t *testing.T, folder string) map[string][]spanRecord {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "*.trace"))
	require.NoError(t, err)
	traces := map[string][]spanRecord{}
	for _, name := range names {
		content, err := os.ReadFile(name)
		require.NoError(t, err)
		lines := bufio.NewScanner(bytes.NewReader(content))
		lines.Buffer(nil, len(content)+1)
		for lines.Scan() {
			var s spanRecord
			require.NoError(t, json.Unmarshal(lines.Bytes(), &s))
			traces[s.SpanContext.TraceID] = append(traces[s.SpanContext.TraceID], s)
		}
	}
	return traces
}

// assertOneRoot asserts that every span but one has its parent in the trace, and returns the number of spans by name.
func assertOneRoot(t *testing.T, trace []spanRecord) map[string]int {
	t.Helper()
	known := map[string]bool{}
	for _, s := range trace {
		known[s.SpanContext.SpanID] = true
	}
	roots, names := 0, map[string]int{}
	for _, s := range trace {
		names[s.Name]++
		if !known[s.Parent.SpanID] {
			roots++
		}
	}
	assert.Equal(t, 1, roots, "spans without a parent in their trace")
	return names
}

// scrapeMetrics returns the metrics of the process at the address.
func scrapeMetrics(t *testing.T, address string) string {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + operator.PathMetrics)
	require.NoError(t, err)
	defer func() { require.NoError(t, response.Body.Close()) }()
	require.Equal(t, http.StatusOK, response.StatusCode)
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(content)
}

func TestRetriedRequest(t *testing.T) {
	f, folder := startFleet(t)
	answer := retriedCall(t, f)
	addresses := []string{}
	for _, p := range f.Processes() {
		addresses = append(addresses, p.Settings.Listen)
	}
	t.Run("status and wait show every process at the ticket", func(t *testing.T) {
		list := f.Lists["lima-a"].URL()
		file := filepath.Join(folder, "entry-1.json")
		assertCommand(t, runCommand(&app{}, "wait", "1", "--settings", file), ExitOK, "ticket 1 is in force everywhere")
		assertCommand(t, runCommand(&app{}, "wait", "1", "--list", list, "--timeout=1"), ExitFailed, "shared key missing or wrong")
		o := runCommand(&app{}, "status", "--settings", file, "--json")
		var replies []operator.Reply
		require.NoError(t, json.Unmarshal([]byte(o.stdout), &replies))
		require.Len(t, replies, 3)
		for _, r := range replies {
			assert.Equal(t, uint64(1), r.Response.Status.Number)
			assert.Equal(t, replies[0].Response.Status.Hash, r.Response.Status.Hash)
			assert.Equal(t, "live", r.Response.Status.State, r.Process.Name)
		}
	})
	t.Run("explain shows each attempt", func(t *testing.T) {
		o := runCommand(&app{}, "explain", answer.ID, "--ask", addresses[0], "--ask", addresses[1], "--ask", addresses[2])
		for attempt := 1; attempt <= answer.Attempt; attempt++ {
			assert.Regexp(t, fmt.Sprintf(`(?m)^%d +entry-1 +choose +check-[12]`, attempt), o.stdout)
			assert.Regexp(t, fmt.Sprintf(`(?m)^%d +check-[12] +run`, attempt), o.stdout)
		}
	})
	t.Run("metrics count each decision", func(t *testing.T) {
		entry, agents := scrapeMetrics(t, addresses[0]), scrapeMetrics(t, addresses[1])+scrapeMetrics(t, addresses[2])
		for _, name := range []string{
			`calls_total{outcome="whole"}`, `retries_total{reason="cut"}`, `resumes_total{reason="cut"}`, `choices_total{zone="lima-a"}`,
			`choice_load_count{service="check"}`, `call_ms_count{service="check"}`, `first_event_ms_count{service="check"}`,
			`platform_calls_total{kind="list"}`, `ticket_number`,
		} {
			assert.Regexp(t, `(?m)^carawaypick_`+regexp.QuoteMeta(name)+` [1-9]`, entry)
		}
		for _, name := range []string{`share_tokens_total{team="politica"}`, `queue_wait_ms_count{team="politica"}`, `ramp_window`} {
			assert.Regexp(t, `(?m)^carawaypick_`+regexp.QuoteMeta(name)+` [1-9]`, agents)
		}
	})
	require.NoError(t, f.Terminate(context.Background()))
	t.Run("one trace connects all hops", func(t *testing.T) {
		found := 0
		for _, trace := range readSpans(t, folder) {
			names := assertOneRoot(t, trace)
			if names["attempt"] < 2 {
				continue
			}
			found++
			assert.Equal(t, 1, names["call"])
			assert.Equal(t, names["attempt"], names["agent"])
			assert.Equal(t, names["attempt"], names["backend"])
		}
		assert.Positive(t, found)
	})
}
