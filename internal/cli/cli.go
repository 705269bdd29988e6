package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"carawaypick/internal/operator"
)

// Exit codes of the process.
const (
	ExitDone        = 0 // done
	ExitRefused     = 1 // refused, invalid or not reached in time
	ExitUsage       = 2 // wrong command line
	ExitUnreachable = 3 // nothing could be asked
)

// codes tells the exit codes in each help text.
const codes = "Exit codes: 0 done; 1 refused, invalid or not reached in time; 2 wrong command line; 3 nothing could be asked."

// app is what the commands work with.
type app struct {
	stdin   io.Reader
	stdout  io.Writer
	stderr  io.Writer
	environ []string
	roles   map[string]Role
}

// usageError says that options which are valid by themselves don't fit together.
type usageError struct {
	reason string
}

// Error returns the reason.
func (e *usageError) Error() string {
	return e.reason
}

// Run executes the command in args and returns the exit code of the process.
func Run(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{stdin: stdin, stdout: stdout, stderr: stderr, environ: os.Environ(), roles: roles()}
	return a.run(args)
}

func (a *app) run(args []string) int {
	p := flags.NewNamedParser("carawaypick", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "A load balancer for expert-parallel model groups and the plain services beside them.\n\n" + codes
	for _, c := range a.commands() {
		if _, err := p.AddCommand(c.name, c.short, c.long+"\n\n"+codes, c.data); err != nil {
			fmt.Fprintln(a.stderr, err)
			return ExitUsage
		}
	}
	started := false
	p.CommandHandler = func(c flags.Commander, args []string) error {
		started = true
		return c.Execute(args)
	}
	_, err := p.ParseArgs(args)
	if err != nil && !started {
		return a.misused(err)
	}
	return a.exit(err)
}

// misused reports a command line that names no command to execute, which is no fault where it asks for help.
func (a *app) misused(err error) int {
	var fault *flags.Error
	if errors.As(err, &fault) && fault.Type == flags.ErrHelp {
		fmt.Fprintln(a.stdout, fault.Message)
		return ExitDone
	}
	fmt.Fprintln(a.stderr, "carawaypick:", err)
	return ExitUsage
}

// exit reports err and returns its exit code.
func (a *app) exit(err error) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(a.stderr, "carawaypick:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var unreachable *operator.UnreachableError
	if errors.As(err, &unreachable) {
		return ExitUnreachable
	}
	return ExitRefused
}

// entryOf is one row in the table of commands.
type entryOf struct {
	name  string
	short string
	long  string
	data  any
}

func (a *app) commands() []entryOf {
	return []entryOf{
		{"entry", "serve callers", "Serves callers on an entry instance until SIGINT or SIGTERM, then drains. A second signal ends it at once. The command settings shows every field with unit and default.", &roleCommand{app: a, role: "entry"}},
		{"agent", "serve one backend server", "Serves the backend server of this instance until SIGINT or SIGTERM, then drains. A second signal ends it at once. The command settings shows every field with unit and default.", &roleCommand{app: a, role: "agent"}},
		{"front", "serve callers on the platform", "Serves callers straight from the backend servers, with the settings file that the platform names, until SIGINT or SIGTERM.", &frontCommand{app: a}},
		{"rank", "work beside a rank on the platform", "Reads what the engine of this instance counts and, in one process of each group, directs the group to better expert maps, until SIGINT or SIGTERM.", &rankCommand{app: a}},
		{"check", "judge a change ticket", "Judges the change ticket in FILE against the state in force and says why it would be skipped.", &checkCommand{ticketCommand{app: a}}},
		{"diff", "show what a change ticket changes", "Shows each field that the change ticket in FILE would change in the state in force.", &diffCommand{ticketCommand{app: a}}},
		{"status", "show what each process believes", "Shows one row a process. It exits with 1 where some processes did not answer, and 3 where none did.", &statusCommand{desk: desk{app: a}}},
		{"wait", "wait until a ticket is in force", "Waits until ticket N is in force at every listed process.", &waitCommand{desk: desk{app: a}}},
		{"explain", "show why a request went where it went", "Shows the decisions that the processes still hold on the request id KEY, or what their logs tell of it.", &explainCommand{desk: desk{app: a}}},
		{"settings", "show the settings and where they come from", "Shows each setting, its value and its source: file, environment, flag or default. Secrets are hidden. Without a file it shows what each field means, in which unit, what it takes and its default.", &settingsCommand{app: a}},
		{"schema", "show the JSON schema of a settings file", "Shows the JSON schema that settings files are checked against, with units, ranges and defaults.", &schemaCommand{app: a}},
		{"plan", "plan expert maps", "Reads reports of expert counts as JSON lines from standard input and answers each with a line on standard output.", &planCommand{app: a}},
		{"version", "show the version", "Shows the version of the program and of Go.", &versionCommand{app: a}},
	}
}
