package cli

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"carawaypick/internal/config"
)

// columnGap is the space in characters between two columns.
const columnGap = 2

// cut splits FIELD=VALUE.
func cut(pair string) (field, value string, found bool) {
	return strings.Cut(pair, "=")
}

// settingsCommand shows the settings of a process.
type settingsCommand struct {
	Options settingsOptions `group:"Settings"`
	JSON    bool            `long:"json" description:"Write JSON for programs"`
	app     *app
}

// Execute writes one row a field.
func (c *settingsCommand) Execute([]string) error {
	_, origins, err := c.Options.load(c.app.environ)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.app.writeJSON(origins)
	}
	t := tabwriter.NewWriter(c.app.stdout, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(t, "FIELD\tVALUE\tSOURCE")
	for _, o := range origins {
		fmt.Fprintf(t, "%s\t%s\t%s\n", o.Field, o.Value, o.Source)
	}
	return errors.Wrap(t.Flush(), "write table")
}

// schemaCommand shows the JSON schema of a settings file.
type schemaCommand struct {
	app *app
}

// Execute writes the schema.
func (c *schemaCommand) Execute([]string) error {
	content, err := config.Schema()
	if err != nil {
		return err
	}
	_, err = c.app.stdout.Write(content)
	return errors.Wrap(err, "write schema")
}

// versionCommand shows the version of the program.
type versionCommand struct {
	app *app
}

// Execute writes the version of the module, its commit and the version of Go.
func (c *versionCommand) Execute([]string) error {
	version, commit := "unknown", "unknown"
	if b, found := debug.ReadBuildInfo(); found {
		version = b.Main.Version
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" {
				commit = s.Value
			}
		}
	}
	fmt.Fprintf(c.app.stdout, "carawaypick %s commit %s %s\n", version, commit, runtime.Version())
	return nil
}
