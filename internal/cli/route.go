package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/gateway"
	"carawaypick/internal/operator"
	"carawaypick/pkg/clock"
	"carawaypick/platform"
)

const (
	routeTimeout     = 5 * clock.Second
	maxRouteBytes    = 4 << 20 // bytes of an explanation
	explanationPerms = 0o600
)

// routeCommand implements route, which shows where an entry would send a request now.
type routeCommand struct {
	Entry    string `long:"entry" value-name:"ADDRESS" description:"Metrics address of the entry to ask; the port is 9464 unless given"`
	Host     string `long:"host" value-name:"HOST" description:"Host of the request"`
	Path     string `long:"path" value-name:"PATH" description:"Path of the request"`
	KeyFile  string `long:"key-file" value-name:"FILE" description:"File with the API key, - for standard input"`
	Prompt   uint   `long:"prompt" value-name:"TOKENS" description:"Tokens of the prompt"`
	Output   uint   `long:"output" value-name:"TOKENS" description:"Expected tokens of the answer"`
	Deadline uint   `long:"deadline" value-name:"MS" description:"Time in ms that the caller waits"`
	Save     string `long:"save" value-name:"FILE" description:"Also write the answer to this file"`
	From     string `long:"from" value-name:"FILE" description:"Show a saved answer, without asking an entry"`
	JSON     bool   `long:"json" description:"Write JSON for programs"`
	app      *app
}

// Execute asks the entry or reads a saved answer, and writes it as text or JSON.
func (c *routeCommand) Execute([]string) error {
	content, err := c.read()
	if err != nil {
		return err
	}
	var x gateway.Explanation
	if err := json.Unmarshal(content, &x); err != nil {
		return errors.Wrap(err, "decode the explanation")
	}
	if c.Save != "" {
		if err := os.WriteFile(c.Save, content, explanationPerms); err != nil {
			return errors.Wrap(err, "save the explanation")
		}
	}
	if c.JSON {
		return c.app.writeJSON(x)
	}
	return c.app.writeExplanation(x)
}

// read returns the answer of the entry, or a saved one.
func (c *routeCommand) read() (content []byte, err error) {
	switch {
	case c.From != "" && c.Entry != "":
		return nil, &usageError{"--from and --entry exclude each other"}
	case c.From != "":
		content, err = os.ReadFile(c.From)
		return content, errors.Wrap(err, "read a saved explanation")
	case c.Entry == "" || c.Host == "" || c.Path == "":
		return nil, &usageError{"--entry, --host and --path are needed, or --from"}
	}
	key, err := c.key()
	if err != nil {
		return nil, err
	}
	return c.ask(key)
}

// key returns the API key from the key file, empty if there is none.
func (c *routeCommand) key() (key string, err error) {
	if c.KeyFile == "" {
		return "", nil
	}
	var content []byte
	if c.KeyFile == "-" {
		content, err = io.ReadAll(c.app.stdin)
	} else {
		content, err = os.ReadFile(c.KeyFile)
	}
	return strings.TrimSpace(string(content)), errors.Wrap(err, "read the API key")
}

// ask asks the entry. It returns an UnreachableError if the entry does not answer.
func (c *routeCommand) ask(key string) (content []byte, err error) {
	address := c.Entry
	if _, _, err := net.SplitHostPort(address); err != nil {
		address = net.JoinHostPort(address, gateway.MetricsPort)
	}
	query := url.Values{"host": {c.Host}, "path": {c.Path}}
	for name, value := range map[string]uint{"prompt": c.Prompt, "output": c.Output, "deadline": c.Deadline} {
		if value > 0 {
			query.Set(name, strconv.FormatUint(uint64(value), 10))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), routeTimeout.Duration())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+gateway.RoutePath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrap(err, "ask the entry")
	}
	if key != "" {
		platform.SetAPIKey(request.Header, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, &operator.UnreachableError{Address: address, Reason: err.Error()}
	}
	content, err = io.ReadAll(io.LimitReader(response.Body, maxRouteBytes))
	if err = errors.CombineErrors(err, response.Body.Close()); err != nil {
		return nil, &operator.UnreachableError{Address: address, Reason: err.Error()}
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answered with status %d: %s", address, response.StatusCode, strings.TrimSpace(string(content)))
	}
	return content, nil
}

// writeExplanation writes the explanation as text.
func (a *app) writeExplanation(x gateway.Explanation) error {
	fmt.Fprintf(a.stdout, "entry %s would %s a request for %s%s\n", x.Entry, x.Decision, x.Host, x.Path)
	if x.Route != "" {
		fmt.Fprintf(a.stdout, "route %s, team %q, service %s, priority %d\n", x.Route, x.Team, x.Service, x.Priority)
	}
	if x.Decision == gateway.AnswerReject {
		fmt.Fprintf(a.stdout, "status %d: %s\n", x.Status, x.Reason)
	}
	if x.Probability > 0 {
		fmt.Fprintf(a.stdout, "probability %.2f\n", x.Probability)
	}
	if x.RetryAfter > 0 {
		fmt.Fprintf(a.stdout, "Retry-After %d ms\n", x.RetryAfter)
	}
	if len(x.Tries) > 0 {
		fmt.Fprintf(a.stdout, "likely order of attempts: %s\n", strings.Join(x.Tries, ", "))
	}
	fmt.Fprintln(a.stdout)
	rows := [][]string{{"STAGE", "ANSWER", "AGE MS", "FIGURES AND REASON"}}
	for _, s := range x.Stages {
		var details []string
		if s.Reason != "" {
			details = append(details, s.Reason)
		}
		for _, name := range slices.Sorted(maps.Keys(s.Figures)) {
			details = append(details, name+"="+strconv.FormatFloat(s.Figures[name], 'g', 4, 64))
		}
		rows = append(rows, []string{s.Name, s.Answer, strconv.Itoa(int(s.Age)), strings.Join(details, " ")})
	}
	if err := a.writeTable(rows); err != nil || len(x.Candidates) == 0 {
		return err
	}
	fmt.Fprintln(a.stdout)
	rows = [][]string{{"SERVER", "ZONE", "SLOTS", "OWN", "PEERS", "RATE", "CHANCE", "WHY"}}
	for _, r := range x.Candidates {
		rate, why := "-", "open"
		if r.Window > 0 {
			rate = fmt.Sprintf("%d of %d in %d ms", r.Sent, r.Part, r.Window)
		}
		if r.Closed != "" {
			why = r.Closed
		}
		if r.ReopenIn > 0 {
			why += fmt.Sprintf(" for %d ms", r.ReopenIn)
		}
		rows = append(rows, []string{r.ID, r.Zone, strconv.Itoa(r.Slots), strconv.Itoa(r.OwnInFlight), strconv.Itoa(r.PeerInFlight), rate, strconv.FormatFloat(r.Chance, 'f', 2, 64), why})
	}
	return a.writeTable(rows)
}
