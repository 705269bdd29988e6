package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"carawaypick/internal/gateway"
)

// TestRoute guards against a command that asks for another request than the given one, shows the key, or can't show what it
// saved.
func TestRoute(t *testing.T) {
	asked := make(chan *http.Request, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r
		_ = json.NewEncoder(w).Encode(gateway.Explanation{
			Entry: "e7", Host: "a", Path: "/p", Route: "r", Decision: gateway.AnswerSend, Probability: 0.625, Tries: []string{"i3", "i1"},
			Stages:     []gateway.RouteStage{{Name: "admission", Answer: gateway.AnswerPass, Figures: map[string]float64{"free": 2.5}, Age: 120}},
			Candidates: []gateway.RouteCandidate{{ID: "i3", Chance: 1}, {ID: "i9", Closed: "asked to wait", ReopenIn: 700}},
		})
	}))
	defer server.Close()
	saved := filepath.Join(t.TempDir(), "answer.json")
	address := strings.TrimPrefix(server.URL, "http://")
	o := runCommand(&app{}, "route", "--entry", address, "--host", "a", "--path", "/p", "--key-file", writeFile(t, "secret\n"), "--prompt", "700", "--deadline", "8000", "--save", saved)
	r := <-asked
	assert.Equal(t, "/route?deadline=8000&host=a&path=%2Fp&prompt=700", r.URL.String())
	assert.Equal(t, "Token secret", r.Header.Get("Authorization"))
	for _, part := range []string{"entry e7 would send", "probability 0.62", "i3, i1", "free=2.5", "120", "asked to wait for 700 ms"} {
		assertCommand(t, o, ExitOK, part)
	}
	assert.NotContains(t, o.stdout+o.stderr, "secret")
	assert.Equal(t, o, runCommand(&app{}, "route", "--from", saved))
	content, err := os.ReadFile(saved)
	require.NoError(t, err)
	assert.JSONEq(t, string(content), runCommand(&app{}, "route", "--from", saved, "--json").stdout)
	server.Close()
	assertCommand(t, runCommand(&app{}, "route", "--entry", address, "--host", "a", "--path", "/p"), ExitUnreachable, "cannot reach")
	assertCommand(t, runCommand(&app{}, "route", "--entry", address), ExitUsage, "--path")
	assertCommand(t, runCommand(&app{}, "route", "--entry", "x", "--from", saved), ExitUsage, "exclude")
	assertCommand(t, runCommand(&app{}, "route", "--from", writeFile(t, "{")), ExitFailed, "decode")
}
