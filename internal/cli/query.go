package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/config"
	"carawaypick/internal/operator"
	"carawaypick/internal/peer"
	"carawaypick/internal/telemetry"
	"carawaypick/pkg/clock"
)

// queryOptions holds the options that select the processes to query.
type queryOptions struct {
	Settings string   `long:"settings" value-name:"FILE" description:"Settings file of any process: its instance list, key and certificates are used"`
	List     string   `long:"list" value-name:"URL" description:"Base URL of the instance list, in place of the file's"`
	Ask      []string `long:"ask" value-name:"IP:PORT,..." description:"HTTP addresses of processes to query in place of the instance list"`
	JSON     bool     `long:"json" description:"Write JSON for programs"`
	app      *app
}

// client returns a client for the selected processes.
func (q *queryOptions) client() (c *operator.Client, err error) {
	s := config.Defaults()
	if q.Settings != "" {
		s, _, err = config.Load(q.Settings, q.app.environ, nil)
		if err != nil {
			return nil, err
		}
	}
	c = &operator.Client{ListURL: s.Platform.List}
	if q.List != "" {
		c.ListURL = q.List
	}
	for _, a := range q.Ask {
		c.Addresses = append(c.Addresses, strings.Split(a, ",")...)
	}
	if c.ListURL == "" && len(c.Addresses) == 0 {
		return nil, &usageError{"one of --settings, --list and --ask is needed"}
	}
	c.DialOptions, err = peer.DialOptions(s)
	return c, err
}

// query queries every selected process for its status or, if key is not empty, for its decisions on that request id; it
// returns an UnreachableError if no process responded.
func (q *queryOptions) query(key string) (replies []operator.Reply, err error) {
	c, err := q.client()
	if err != nil {
		return nil, err
	}
	processes, err := c.Processes()
	if err != nil {
		return nil, err
	}
	replies = c.Query(context.Background(), processes, key)
	if countFailed(replies) == len(replies) {
		return replies, &operator.UnreachableError{Address: "any process", Reason: firstError(replies)}
	}
	return replies, nil
}

func countFailed(replies []operator.Reply) int {
	n := 0
	for _, r := range replies {
		if r.Error != "" {
			n++
		}
	}
	return n
}

func firstError(replies []operator.Reply) string {
	if len(replies) == 0 {
		return "no process is listed"
	}
	return replies[0].Error
}

// writeJSON writes v as indented JSON.
func (a *app) writeJSON(v any) error {
	e := json.NewEncoder(a.stdout)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "write JSON")
}

// statusCommand implements status, which shows the status of each process.
type statusCommand struct {
	queryOptions
}

// Execute queries the processes and writes a table or JSON; it fails if any process did not respond.
func (c *statusCommand) Execute([]string) error {
	replies, err := c.query("")
	if err != nil {
		return err
	}
	if err := c.write(replies); err != nil {
		return err
	}
	if n := countFailed(replies); n > 0 {
		return errors.Newf("%d of %d processes did not answer", n, len(replies))
	}
	return nil
}

func (c *statusCommand) write(replies []operator.Reply) error {
	if c.JSON {
		return c.app.writeJSON(replies)
	}
	return operator.WriteStatus(c.app.stdout, replies)
}

// waitCommand implements wait, which blocks until a ticket is in force.
type waitCommand struct {
	queryOptions
	Timeout  uint64 `long:"timeout" value-name:"MS" default:"30000" description:"Time-out in ms"`
	Position struct {
		Number uint64 `positional-arg-name:"N" description:"Ticket number"`
	} `positional-args:"true" required:"true"`
}

// Execute polls until every process has the ticket or the time-out expires.
func (c *waitCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), clock.Span(c.Timeout).Duration())
	defer cancel()
	if err := client.Wait(ctx, c.Position.Number); err != nil {
		return err
	}
	if c.JSON {
		return c.app.writeJSON(struct {
			Number uint64 `json:"number"`
		}{c.Position.Number})
	}
	fmt.Fprintf(c.app.stdout, "ticket %d is in force everywhere\n", c.Position.Number)
	return nil
}

// explainCommand implements explain, which shows the decisions on one request.
type explainCommand struct {
	queryOptions
	Logs     []string `long:"logs" value-name:"FILE" description:"Log file to read instead of querying processes, - for standard input; may be repeated"`
	Position struct {
		Key string `positional-arg-name:"KEY" description:"Request id"`
	} `positional-args:"true" required:"true"`
}

// Execute queries every process for its decisions on the request, or reads them from log files.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.explainLogs()
	}
	replies, err := c.query(c.Position.Key)
	if err != nil {
		return err
	}
	all := operator.Decisions(replies)
	if len(all) == 0 {
		return errors.Newf("no process holds a decision on %q; %d of %d did not answer", c.Position.Key, countFailed(replies), len(replies))
	}
	if c.JSON {
		return c.app.writeJSON(all)
	}
	return operator.WriteDecisions(c.app.stdout, all)
}

// explainLogs shows the log lines of the request and the context lines logged around it.
func (c *explainCommand) explainLogs() (err error) {
	defer func() { err = errors.Wrapf(err, "explain %q", c.Position.Key) }()
	var all []telemetry.LogLine
	for _, path := range c.Logs {
		lines, unparsed, err := c.readLog(path)
		if err != nil {
			return err
		}
		if unparsed > 0 {
			fmt.Fprintf(c.app.stderr, "%s: %d lines are no log lines\n", path, unparsed)
		}
		all = append(all, lines...)
	}
	selected := telemetry.RequestLog(all, c.Position.Key)
	if len(selected) == 0 {
		return errors.Newf("none of %d lines is about it", len(all))
	}
	if c.JSON {
		return c.app.writeJSON(selected)
	}
	return telemetry.WriteRequestLog(c.app.stdout, selected)
}

func (c *explainCommand) readLog(path string) (lines []telemetry.LogLine, unparsed int, err error) {
	if path == "-" {
		return telemetry.ReadLog(c.app.stdin)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	return telemetry.ReadLog(file)
}
