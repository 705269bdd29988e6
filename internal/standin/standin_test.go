package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/pkg/clock"
)

const waitTimeout = 10 * time.Second

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, waitTimeout, 2*time.Millisecond, what)
}

func get(t *testing.T, target string, value any) int {
	t.Helper()
	response, err := http.Get(target)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	if response.StatusCode == http.StatusOK && value != nil {
		require.NoError(t, json.Unmarshal(content, value))
	}
	return response.StatusCode
}

func post(t *testing.T, target, body string) int {
	t.Helper()
	response, err := http.Post(target, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// streamResult is the result of one direct call to an engine.
type streamResult struct {
	ids   []string
	text  string
	end   *EndEvent
	cut   bool
	first int // index of the first event, -1 for none
}

func generate(t *testing.T, e *Engine, id, prompt string, tokens, resume int) streamResult {
	t.Helper()
	body, err := json.Marshal(Prompt{Prompt: prompt, Tokens: tokens})
	require.NoError(t, err)
	request, err := http.NewRequest(http.MethodPost, e.URL()+"/generate", bytes.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Request-Id", id)
	request.Header.Set("Resume", strconv.Itoa(resume))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return streamResult{cut: true}
	}
	defer func() { _ = response.Body.Close() }()
	return readResult(response.Body)
}

func readResult(body io.Reader) streamResult {
	result := streamResult{first: -1}
	lines := bufio.NewScanner(body)
	ending := false
	for lines.Scan() {
		line := lines.Text()
		ending = ending || line == "event: end"
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if ending {
			result.end = &EndEvent{}
			_ = json.Unmarshal([]byte(data), result.end)
			continue
		}
		var event TokenEvent
		_ = json.Unmarshal([]byte(data), &event)
		if result.first < 0 {
			result.first = event.Index
		}
		result.text += event.Text
		result.ids = append(result.ids, event.ID)
	}
	result.cut = lines.Err() != nil
	return result
}

func startEngine(t *testing.T, change func(*EngineFault)) *Engine {
	t.Helper()
	e, err := NewEngine("")
	require.NoError(t, err)
	t.Cleanup(e.Stop)
	e.SetFault(func(f *EngineFault) {
		f.Interval = 1
		change(f)
	})
	return e
}

func noFault(*EngineFault) {}

func TestEngineText(t *testing.T) {
	const prompt = "Hat der Stadtrat die Gebühr am 3. Mai beschlossen?"
	e, other := startEngine(t, noFault), startEngine(t, noFault)
	complete := generate(t, e, "a", prompt, 9, 0)
	t.Run("is the same on each engine and in each call", func(t *testing.T) {
		assert.Equal(t, complete.text, generate(t, other, "b", prompt, 9, 0).text)
		assert.Equal(t, NewTextGenerator(prompt).FullText(9), complete.text)
	})
	t.Run("differs by prompt", func(t *testing.T) {
		assert.NotEqual(t, complete.text, generate(t, other, "b", prompt+" ", 9, 0).text)
	})
	t.Run("ends with count and hash", func(t *testing.T) {
		assert.Equal(t, &EndEvent{ID: "a", Count: 9, Hash: HashText(complete.text)}, complete.end)
	})
	t.Run("resumes at an index with the hash of the complete text", func(t *testing.T) {
		rest := generate(t, other, "a", prompt, 9, 4)
		assert.Equal(t, 4, rest.first)
		assert.Equal(t, complete.text, NewTextGenerator(prompt).FullText(4)+rest.text)
		assert.Equal(t, complete.end, rest.end)
	})
}

func TestEngineFaults(t *testing.T) {
	t.Run("a prompt with the crash word restarts the engine and cuts its other streams", func(t *testing.T) {
		e := startEngine(t, func(f *EngineFault) { f.CrashWord = "BOOM"; f.Interval = 20 })
		other := make(chan streamResult, 1)
		go func() { other <- generate(t, e, "n", "good", 200, 0) }()
		eventually(t, "other stream runs", func() bool { return len(e.Record().Requests) == 1 })
		before := e.Record().Incarnation
		assert.True(t, generate(t, e, "c", "a BOOM b", 4, 0).cut)
		assert.True(t, (<-other).cut)
		assert.Equal(t, 1, e.Record().Crashes)
		assert.NotEqual(t, before, e.Record().Incarnation)
	})
	t.Run("crashes above its concurrency limit, which completed requests raise", func(t *testing.T) {
		e := startEngine(t, func(f *EngineFault) { f.MaxConcurrency = 2; f.MaxColdConcurrency = 1; f.Interval = 20 })
		pair := func() []streamResult {
			results := make(chan streamResult, 2)
			for _, id := range []string{"a", "b"} {
				go func() { results <- generate(t, e, id, "p", 5, 0) }()
			}
			return []streamResult{<-results, <-results}
		}
		pair()
		assert.Equal(t, 1, e.Record().OverloadCrashes)
		assert.NotNil(t, generate(t, e, "c", "p", 1, 0).end)
		for _, d := range pair() {
			assert.NotNil(t, d.end)
		}
		assert.Equal(t, 1, e.Record().OverloadCrashes)
	})
	t.Run("a closed connection frees its slot", func(t *testing.T) {
		e := startEngine(t, func(f *EngineFault) { f.MaxConcurrency = 1; f.MaxColdConcurrency = 1; f.Stall = true })
		ctx, cancel := context.WithCancel(t.Context())
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, e.URL()+"/generate", strings.NewReader(`{"prompt":"p"}`))
		require.NoError(t, err)
		request.Close = true
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
				_, _ = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
		}()
		eventually(t, "running", func() bool { return len(e.Record().Requests) == 1 })
		cancel()
		<-ended
		e.SetFault(func(f *EngineFault) { f.Stall = false })
		assert.NotNil(t, generate(t, e, "b", "p", 2, 0).end)
		assert.Zero(t, e.Record().OverloadCrashes)
	})
	t.Run("closes the connection before an event", func(t *testing.T) {
		e := startEngine(t, func(f *EngineFault) { f.CutIndex = 3; f.CutsLeft = 1 })
		d := generate(t, e, "a", "p", 5, 0)
		assert.True(t, d.cut)
		assert.Len(t, d.ids, 3)
		assert.NotNil(t, generate(t, e, "a", "p", 5, 3).end)
	})
	t.Run("stalls without closing the connection", func(t *testing.T) {
		e := startEngine(t, func(f *EngineFault) { f.Stall = true })
		result := make(chan streamResult, 1)
		go func() { result <- generate(t, e, "a", "p", 3, 0) }()
		eventually(t, "running", func() bool { return len(e.Record().Requests) == 1 })
		assert.Zero(t, e.Record().Requests[0].EventsSent)
		e.SetFault(func(f *EngineFault) { f.Stall = false })
		assert.NotNil(t, (<-result).end)
	})
	t.Run("cancels a request by its id", func(t *testing.T) {
		e := startEngine(t, func(f *EngineFault) { f.Stall = true })
		result := make(chan streamResult, 1)
		go func() { result <- generate(t, e, "a", "p", 3, 0) }()
		eventually(t, "running", func() bool { return len(e.Record().Requests) == 1 })
		assert.Equal(t, http.StatusOK, post(t, e.URL()+"/cancel", `{"id":"a"}`))
		assert.True(t, (<-result).cut)
		assert.Equal(t, "cancel", e.Record().Requests[0].Outcome)
	})
	t.Run("begins a new incarnation at a restart", func(t *testing.T) {
		e := startEngine(t, noFault)
		before := e.Record().Incarnation
		assert.Equal(t, http.StatusOK, post(t, e.URL()+"/restart", ""))
		assert.NotEqual(t, before, e.Record().Incarnation)
	})
}

func TestEngineReports(t *testing.T) {
	t.Run("load reports are delayed", func(t *testing.T) {
		e := startEngine(t, func(f *EngineFault) { f.Stall = true; f.Lag = 150 })
		go func() { generate(t, e, "a", "p", 3, 0) }()
		eventually(t, "running", func() bool { return len(e.Record().Requests) == 1 })
		var report LoadReport
		get(t, e.URL()+"/load", &report)
		assert.Zero(t, report.Running)
		assert.Equal(t, 150*clock.Millisecond, report.Age)
		eventually(t, "change visible", func() bool {
			get(t, e.URL()+"/load", &report)
			return report.Running == 1 && report.Tokens == 3
		})
	})
	t.Run("cache events are dropped", func(t *testing.T) {
		e := startEngine(t, func(f *EngineFault) { f.CacheSize = 1; f.DropEvery = 2 })
		generate(t, e, "a", "first", 1, 0)
		generate(t, e, "b", "second", 1, 0)
		var list CacheList
		get(t, e.URL()+"/cache?after=0", &list)
		want := []CacheEvent{
			{Sequence: 1, Prefix: PrefixKey("first"), Cached: true},
			{Sequence: 3, Prefix: PrefixKey("first"), Cached: false},
		}
		assert.Equal(t, CacheList{Sequence: 3, Events: want}, list)
	})
}

func TestEngineOrders(t *testing.T) {
	const high, low = `{"number":7,"epoch":1,"action":"model","value":"v2"}`, `{"number":6,"epoch":9,"action":"model","value":"v1"}`
	for _, fence := range []bool{true, false} {
		t.Run("fencing "+strconv.FormatBool(fence), func(t *testing.T) {
			e := startEngine(t, func(f *EngineFault) { f.Fence = fence })
			assert.Equal(t, http.StatusOK, post(t, e.URL()+"/order", high))
			want := map[bool]int{true: http.StatusConflict, false: http.StatusOK}[fence]
			assert.Equal(t, want, post(t, e.URL()+"/order", low))
			orders := e.Orders()
			require.Len(t, orders, 2)
			assert.Equal(t, fence, orders[1].Rejected)
		})
	}
}

func TestGroup(t *testing.T) {
	g, err := NewGroup("", 3)
	require.NoError(t, err)
	t.Cleanup(g.Stop)
	g.SetFault(func(f *GroupFault) { f.Interval = 1 })
	order := func(rank int, kind string, step uint64) int {
		body := `{"number":4,"epoch":2,"action":"map","value":{"kind":"` + kind + `","step":` + strconv.FormatUint(step, 10) + `,"map":{}}}`
		return post(t, g.Ranks[rank].URL()+"/order", body)
	}
	step := g.Record().Step + 400
	t.Run("one held rank holds all ranks before its step", func(t *testing.T) {
		for rank := range 3 {
			require.Equal(t, http.StatusOK, order(rank, "prepare", step))
		}
		eventually(t, "held", func() bool { return g.Record().Step == step })
		assert.Equal(t, http.StatusOK, order(0, "commit", step))
		assert.Equal(t, http.StatusOK, order(1, "commit", step))
		assert.Equal(t, step, g.Record().Step)
	})
	t.Run("all ranks switch at one step", func(t *testing.T) {
		assert.Equal(t, http.StatusOK, order(2, "commit", step))
		eventually(t, "passed", func() bool { return g.Record().Step > step })
		steps := g.Record().Steps
		require.Len(t, steps, 2)
		assert.Equal(t, []string{"4.2", "4.2", "4.2"}, steps[1].MapIDs)
		assert.Equal(t, step, steps[1].First)
	})
	t.Run("a commit to one rank alone is recorded", func(t *testing.T) {
		next := g.Record().Step + 5
		assert.Equal(t, http.StatusOK, post(t, g.Ranks[0].URL()+"/order",
			`{"number":5,"epoch":1,"action":"map","value":{"kind":"commit","step":`+strconv.FormatUint(next, 10)+`}}`))
		eventually(t, "passed", func() bool { return g.Record().Step > next })
		assert.Equal(t, []string{"5.1", "4.2", "4.2"}, g.Record().Steps[2].MapIDs)
	})
	t.Run("prepare for a past step is rejected", func(t *testing.T) {
		assert.Equal(t, http.StatusBadRequest, order(0, "prepare", 1))
	})
}

func TestTickets(t *testing.T) {
	folder := t.TempDir()
	write := func(number int, content string) {
		require.NoError(t, os.WriteFile(filepath.Join(folder, strconv.Itoa(number)+".json"), []byte(content), 0o600))
	}
	write(1, `{"number":1,"author":"a"}`)
	s, err := NewTickets("", folder)
	require.NoError(t, err)
	t.Cleanup(s.Stop)
	read := func(query string) []string {
		var list ticketList
		assert.Equal(t, http.StatusOK, get(t, s.URL()+"/tickets?"+query, &list))
		contents := []string{}
		for _, c := range list.Tickets {
			contents = append(contents, string(c))
		}
		return contents
	}
	t.Run("files are published", func(t *testing.T) {
		assert.Len(t, read("after=0"), 1)
		write(2, `{"number":2,"author":"b"}`)
		assert.Equal(t, []string{`{"number":2,"author":"b"}`}, read("after=1&wait=10000"))
	})
	t.Run("numbers above the maximum and hidden numbers are omitted", func(t *testing.T) {
		s.SetFault(func(f *TicketFault) { f.MaxNumber = 1 })
		assert.Len(t, read("after=0"), 1)
		s.SetFault(func(f *TicketFault) { f.MaxNumber = 0; f.Hidden = []uint64{1} })
		assert.Equal(t, []string{`{"number":2,"author":"b"}`}, read("after=0"))
		s.SetFault(func(f *TicketFault) { f.Hidden = nil })
	})
	t.Run("every other call gets the second content", func(t *testing.T) {
		require.NoError(t, s.Publish([]byte(`{"number":2,"author":"c"}`)))
		assert.NotEqual(t, read("after=1"), read("after=1"))
	})
	t.Run("an outage answers 503 and each call counts", func(t *testing.T) {
		s.SetFault(func(f *TicketFault) { f.Down = true })
		before := s.Calls().Calls
		assert.Equal(t, http.StatusServiceUnavailable, get(t, s.URL()+"/tickets", nil))
		assert.Equal(t, before+1, s.Calls().Calls)
		s.SetFault(func(f *TicketFault) { f.Down = false })
	})
	t.Run("reads above the limit per second get 429", func(t *testing.T) {
		now := clock.Time(0)
		limited := &Tickets{Server: &Server{clock: clock.Manual(&now)}}
		for range maxReadsPerSecond {
			_, err := limited.admit()
			require.NoError(t, err)
		}
		_, err := limited.admit()
		assert.Error(t, err)
		now = now.Add(clock.Second)
		_, err = limited.admit()
		assert.NoError(t, err)
	})
	t.Run("a published snapshot is served", func(t *testing.T) {
		assert.Equal(t, http.StatusNotFound, get(t, s.URL()+"/snapshot", nil))
		s.PublishSnapshot([]byte(`{"number":2,"objects":{}}`))
		assert.Equal(t, http.StatusOK, get(t, s.URL()+"/snapshot", &ticketNumber{}))
	})
}

func TestList(t *testing.T) {
	l, err := NewList("", "")
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	l.SetFault(func(f *ListFault) { f.Lag = 200 })
	l.Set([]Instance{{Name: "e1", Role: "entry", State: "live"}})
	var list InstanceList
	get(t, l.URL()+"/instances", &list)
	assert.Empty(t, list.Instances)
	eventually(t, "change visible", func() bool {
		get(t, l.URL()+"/instances", &list)
		return list.Version == 1 && len(list.Instances) == 1
	})
}

func TestWeights(t *testing.T) {
	now := clock.Time(0)
	w := &Weights{Server: &Server{clock: clock.Manual(&now)}, bytesSent: map[string]int{}}
	w.fault.value.BytesPerSecond = 1000
	assert.Equal(t, 500*clock.Millisecond, w.reserve("m", 500))
	assert.Equal(t, 1500*clock.Millisecond, w.reserve("n", 1000))
	now = 1400
	assert.Equal(t, 350*clock.Millisecond, w.reserve("n", 250))
	assert.Equal(t, 1250, w.BytesSent("n"))
}
