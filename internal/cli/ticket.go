package cli

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/config"
	"carawaypick/internal/operator"
	"carawaypick/internal/ticket"
)

// ticketCommand holds the arguments that check and diff share: the ticket file and the source of the state in force.
type ticketCommand struct {
	Settings string   `long:"settings" value-name:"FILE" description:"Settings file of any process: its configuration service is read"`
	Tickets  string   `long:"tickets" value-name:"URL" description:"Base URL of the configuration service, in place of the file's"`
	Ask      []string `long:"ask" value-name:"IP:PORT" description:"HTTP address of a process whose state is used in place of the service's; may be repeated"`
	JSON     bool     `long:"json" description:"Write JSON for programs"`
	Position struct {
		File string `positional-arg-name:"FILE" description:"Change ticket in JSON"`
	} `positional-args:"true" required:"true"`
	app *app
}

// fieldChanges returns the ticket in the file and the fields that it would change in the state in force.
func (c *ticketCommand) fieldChanges() (t ticket.Ticket, diffs []ticket.FieldDiff, err error) {
	defer func() {
		if err != nil {
			err = errors.Wrap(err, c.Position.File)
		}
	}()
	content, err := os.ReadFile(c.Position.File)
	if err != nil {
		return t, nil, err
	}
	t, err = ticket.Decode(content)
	if err != nil {
		return t, nil, err
	}
	s, err := c.state()
	if err != nil {
		return t, nil, err
	}
	if t.Number <= s.Number {
		return t, nil, errors.Newf("number: got %d, allowed above %d, the highest in force", t.Number, s.Number)
	}
	diffs, err = ticket.DiffTicket(s, t)
	return t, diffs, err
}

// state returns the state in force at the process given by --ask, or else the published state of the configuration service.
func (c *ticketCommand) state() (*ticket.State, error) {
	if len(c.Ask) > 0 {
		return (&operator.Client{Addresses: c.Ask}).State()
	}
	address := c.Tickets
	if address == "" && c.Settings != "" {
		s, _, err := config.Load(c.Settings, c.app.environ, nil)
		if err != nil {
			return nil, err
		}
		address = s.Platform.Tickets
	}
	if address == "" {
		return nil, &usageError{"one of --settings, --tickets and --ask is needed"}
	}
	return operator.PublishedState(address)
}

// checkCommand implements check, which validates a ticket.
type checkCommand struct {
	ticketCommand
}

// Execute writes the number of fields that the ticket would change; it fails if the ticket would be skipped.
func (c *checkCommand) Execute([]string) error {
	t, diffs, err := c.fieldChanges()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.app.writeJSON(struct {
			Number  ticket.Number `json:"number"`
			Changes int           `json:"changes"`
		}{t.Number, len(diffs)})
	}
	fmt.Fprintf(c.app.stdout, "ticket %d is valid and changes %d fields\n", t.Number, len(diffs))
	return nil
}

// diffCommand implements diff, which shows the fields that a ticket would change.
type diffCommand struct {
	ticketCommand
}

// Execute writes one line for each field that differs.
func (c *diffCommand) Execute([]string) error {
	_, diffs, err := c.fieldChanges()
	if err != nil {
		return err
	}
	if c.JSON {
		return c.app.writeJSON(diffs)
	}
	fmt.Fprint(c.app.stdout, ticket.Render(diffs))
	return nil
}
