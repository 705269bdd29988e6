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

// desk holds the options by which an operator's command finds the processes.
type desk struct {
	Settings string   `long:"settings" value-name:"FILE" description:"Settings file of any process: its instance list, key and certificates are used"`
	List     string   `long:"list" value-name:"URL" description:"Base URL of the instance list, in place of the file's"`
	Ask      []string `long:"ask" value-name:"IP:PORT,..." description:"HTTP addresses of processes to ask in place of the instance list"`
	JSON     bool     `long:"json" description:"Write JSON for programs"`
	app      *app
}

// client returns a client for the processes that the options name.
func (d *desk) client() (c *operator.Client, err error) {
	s := config.Defaults()
	if d.Settings != "" {
		s, _, err = config.Load(d.Settings, d.app.environ, nil)
		if err != nil {
			return nil, err
		}
	}
	c = &operator.Client{List: s.Platform.List}
	if d.List != "" {
		c.List = d.List
	}
	for _, a := range d.Ask {
		c.Asked = append(c.Asked, strings.Split(a, ",")...)
	}
	if c.List == "" && len(c.Asked) == 0 {
		return nil, &usageError{"one of --settings, --list and --ask is needed"}
	}
	c.Dial, err = peer.DialOptions(s)
	return c, err
}

// ask asks every process and fails where none answered.
func (d *desk) ask(key string) (replies []operator.Reply, err error) {
	c, err := d.client()
	if err != nil {
		return nil, err
	}
	processes, err := c.Processes()
	if err != nil {
		return nil, err
	}
	replies = c.Ask(context.Background(), processes, key)
	if silent(replies) == len(replies) {
		return replies, &operator.UnreachableError{Address: "any process", Reason: firstFault(replies)}
	}
	return replies, nil
}

func silent(replies []operator.Reply) int {
	n := 0
	for _, r := range replies {
		if r.Fault != "" {
			n++
		}
	}
	return n
}

func firstFault(replies []operator.Reply) string {
	if len(replies) == 0 {
		return "no process is listed"
	}
	return replies[0].Fault
}

// writeJSON writes v as indented JSON.
func (a *app) writeJSON(v any) error {
	e := json.NewEncoder(a.stdout)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(v), "write JSON")
}

// statusCommand shows what each process believes.
type statusCommand struct {
	desk
}

// Execute asks the processes and writes a table or JSON.
func (c *statusCommand) Execute([]string) error {
	replies, err := c.ask("")
	if err != nil {
		return err
	}
	if err := c.write(replies); err != nil {
		return err
	}
	if n := silent(replies); n > 0 {
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

// waitCommand waits until a ticket is in force.
type waitCommand struct {
	desk
	Timeout  uint64 `long:"timeout" value-name:"MS" default:"30000" description:"Time in ms after which to give up"`
	Position struct {
		Number uint64 `positional-arg-name:"N" description:"Ticket number"`
	} `positional-args:"true" required:"true"`
}

// Execute asks again and again until every process has the ticket or the time is over.
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

// explainCommand shows the decisions on one request.
type explainCommand struct {
	desk
	Logs     []string `long:"logs" value-name:"FILE" description:"Log file to read instead of asking processes, - for standard input; may be given several times"`
	Position struct {
		Key string `positional-arg-name:"KEY" description:"Request id"`
	} `positional-args:"true" required:"true"`
}

// Execute asks every process for what it holds on the request, or reads their logs.
func (c *explainCommand) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.read()
	}
	replies, err := c.ask(c.Position.Key)
	if err != nil {
		return err
	}
	all := operator.Decisions(replies)
	if len(all) == 0 {
		return errors.Newf("no process holds a decision on %q; %d of %d did not answer", c.Position.Key, silent(replies), len(replies))
	}
	if c.JSON {
		return c.app.writeJSON(all)
	}
	return operator.WriteDecisions(c.app.stdout, all)
}

// read shows what the logs tell of the request.
func (c *explainCommand) read() (err error) {
	defer func() { err = errors.Wrapf(err, "explain %q", c.Position.Key) }()
	var all []telemetry.TrailLine
	for _, path := range c.Logs {
		lines, other, err := c.readFile(path)
		if err != nil {
			return err
		}
		if other > 0 {
			fmt.Fprintf(c.app.stderr, "%s: %d lines are no log lines\n", path, other)
		}
		all = append(all, lines...)
	}
	trail := telemetry.Trail(all, c.Position.Key)
	if len(trail) == 0 {
		return errors.Newf("none of %d lines is about it", len(all))
	}
	if c.JSON {
		return c.app.writeJSON(trail)
	}
	return telemetry.WriteTrail(c.app.stdout, trail)
}

func (c *explainCommand) readFile(path string) (lines []telemetry.TrailLine, other int, err error) {
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
