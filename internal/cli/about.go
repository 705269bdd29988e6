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

// columnGap is the number of spaces between two columns.
const columnGap = 2

// splitPair splits FIELD=VALUE and reports whether it has an equals sign.
func splitPair(pair string) (field, value string, found bool) {
	return strings.Cut(pair, "=")
}

// settingsCommand implements settings, which shows the settings of a process.
type settingsCommand struct {
	Options settingsOptions `group:"Settings"`
	JSON    bool            `long:"json" description:"Write JSON for programs"`
	app     *app
}

// Execute writes each field with its value and source or, without a settings file, with its default, allowed values and
// meaning.
func (c *settingsCommand) Execute([]string) error {
	if c.Options.Settings == "" {
		return c.describe()
	}
	_, origins, err := c.Options.load(c.app.environ)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.app.writeJSON(origins)
	}
	rows := [][]string{{"FIELD", "VALUE", "SOURCE"}}
	for _, o := range origins {
		rows = append(rows, []string{o.Field, o.Value, o.Source})
	}
	return c.app.writeTable(rows)
}

func (c *settingsCommand) describe() error {
	all := config.Describe()
	if c.JSON {
		return c.app.writeJSON(all)
	}
	rows := [][]string{{"FIELD", "DEFAULT", "ALLOWED", "MEANING"}}
	for _, d := range all {
		rows = append(rows, []string{d.Field, d.Default, d.Allowed, d.Text})
	}
	return c.app.writeTable(rows)
}

// writeTable writes rows in aligned columns.
func (a *app) writeTable(rows [][]string) error {
	t := tabwriter.NewWriter(a.stdout, 0, 0, columnGap, ' ', 0)
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	return errors.Wrap(t.Flush(), "write table")
}

// schemaCommand implements schema, which shows the JSON schema of a settings file.
type schemaCommand struct {
	app *app
}

// Execute writes the schema to standard output.
func (c *schemaCommand) Execute([]string) error {
	content, err := config.Schema()
	if err != nil {
		return err
	}
	_, err = c.app.stdout.Write(content)
	return errors.Wrap(err, "write schema")
}

// versionCommand implements version.
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

// planCommand implements plan, which plans expert maps.
type planCommand struct {
	app *app
}

// Execute plans expert maps for the reports on standard input until the input ends.
func (c *planCommand) Execute([]string) error {
	return plan(c.app.stdin, c.app.stdout)
}
