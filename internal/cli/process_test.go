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

// asProcess is the variable under which the test binary runs as carawaypick itself.
const asProcess = "TEST_AS_CARAWAYPICK"

func TestMain(m *testing.M) {
	if os.Getenv(asProcess) != "" {
		os.Exit(Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const base = `{"number":1,"author":"desk","objects":{
	"models":{"facts":{"version":"1","adapters":[],"weight":1}},
	"services":{"check":{"kind":"model","model":"facts","idempotent":true,"stall":500,"bears":16,"cold":8}},
	"teams":{"politica":{"share":1,"priority":9}}}}`

// processes starts one entry and two agents with engines, all traced, and returns them with their folder.
func processes(t *testing.T) (f *fleet.Fleet, folder string) {
	t.Helper()
	t.Setenv(asProcess, "1")
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
	require.NoError(t, f.Tickets.Publish([]byte(base)))
	require.NoError(t, f.Start(t.Context()))
	return f, folder
}

// retried sends calls until one took a second attempt, and returns its answer.
func retried(t *testing.T, f *fleet.Fleet) standin.Answer {
	t.Helper()
	for _, e := range f.Engines {
		e.SetFault(func(fault *standin.EngineFault) { fault.Cut, fault.Cuts = 3, 1 })
	}
	c := standin.NewCaller("check", "lima-a", "politica", f.EntryAddresses()...)
	defer c.Close()
	for i := range 20 {
		call := standin.Call{ID: "retried-" + strconv.Itoa(i), Path: "/", Body: []byte(`{"prompt":"a claim","tokens":8}`), Idempotent: true, Patient: true}
		a := c.Do(t.Context(), call)
		require.Equal(t, standin.Whole, a.Outcome, a.Reason)
		if a.Attempt > 1 {
			return a
		}
	}
	t.Fatal("no call was retried")
	return standin.Answer{}
}

// span is the part of a written span that the test looks at.
type span struct {
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

// spans returns all spans that the processes wrote, by trace.
func spans(t *testing.T, folder string) map[string][]span {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "*.trace"))
	require.NoError(t, err)
	traces := map[string][]span{}
	for _, name := range names {
		content, err := os.ReadFile(name)
		require.NoError(t, err)
		lines := bufio.NewScanner(bytes.NewReader(content))
		lines.Buffer(nil, len(content)+1)
		for lines.Scan() {
			var s span
			require.NoError(t, json.Unmarshal(lines.Bytes(), &s))
			traces[s.SpanContext.TraceID] = append(traces[s.SpanContext.TraceID], s)
		}
	}
	return traces
}

// connected asserts that every span but one has its parent in the trace, and returns how often each name stands.
func connected(t *testing.T, trace []span) map[string]int {
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

// scraped returns the metrics of a process.
func scraped(t *testing.T, address string) string {
	t.Helper()
	once := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := once.Get("http://" + address + operator.PathMetrics)
	require.NoError(t, err)
	defer func() { require.NoError(t, response.Body.Close()) }()
	require.Equal(t, http.StatusOK, response.StatusCode)
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(content)
}

func TestRetriedRequest(t *testing.T) {
	f, folder := processes(t)
	answer := retried(t, f)
	asked := []string{}
	for _, p := range f.Processes() {
		asked = append(asked, p.Settings.Listen)
	}
	t.Run("status and wait see every process at the ticket", func(t *testing.T) {
		list := f.Lists["lima-a"].URL()
		file := filepath.Join(folder, "entry-1.json")
		ends(t, command(&app{}, "wait", "1", "--settings", file), ExitDone, "ticket 1 is in force everywhere")
		ends(t, command(&app{}, "wait", "1", "--list", list, "--timeout=1"), ExitRefused, "shared key missing or wrong")
		o := command(&app{}, "status", "--settings", file, "--json")
		var replies []operator.Reply
		require.NoError(t, json.Unmarshal([]byte(o.stdout), &replies))
		require.Len(t, replies, 3)
		for _, r := range replies {
			assert.Equal(t, uint64(1), r.Answer.Status.Number)
			assert.Equal(t, replies[0].Answer.Status.Hash, r.Answer.Status.Hash)
			assert.Equal(t, "live", r.Answer.Status.State, r.Process.Name)
		}
	})
	t.Run("explain shows each attempt", func(t *testing.T) {
		o := command(&app{}, "explain", answer.ID, "--ask", asked[0], "--ask", asked[1], "--ask", asked[2])
		for attempt := 1; attempt <= answer.Attempt; attempt++ {
			assert.Regexp(t, fmt.Sprintf(`(?m)^%d +entry-1 +choose +check-[12]`, attempt), o.stdout)
			assert.Regexp(t, fmt.Sprintf(`(?m)^%d +check-[12] +run`, attempt), o.stdout)
		}
	})
	t.Run("metrics count each decision", func(t *testing.T) {
		entry, agents := scraped(t, asked[0]), scraped(t, asked[1])+scraped(t, asked[2])
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
		for _, trace := range spans(t, folder) {
			names := connected(t, trace)
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
