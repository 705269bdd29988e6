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
	ExitOK          = 0 // success
	ExitFailed      = 1 // rejected, invalid, timed out or any other failure
	ExitUsage       = 2 // invalid command line
	ExitUnreachable = 3 // no process or service responded
)

// exitCodesHelp describes the exit codes in each help text.
const exitCodesHelp = "Exit codes: 0 done; 1 refused, invalid or not reached in time; 2 wrong command line; 3 nothing could be asked."

// app holds the streams, environment and roles that the commands use.
type app struct {
	stdin   io.Reader
	stdout  io.Writer
	stderr  io.Writer
	environ []string
	roles   map[string]Role
}

// usageError reports options that the parser accepts but the command rejects, such as an invalid combination.
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
	p.LongDescription = "A load balancer for expert-parallel model groups and the plain services beside them.\n\n" + exitCodesHelp
	for _, c := range a.commands() {
		if _, err := p.AddCommand(c.name, c.short, c.long+"\n\n"+exitCodesHelp, c.data); err != nil {
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
		return a.usageExit(err)
	}
	return a.exitCode(err)
}

// usageExit prints the parser error and returns ExitUsage, or prints the help text and returns ExitOK if it was requested.
func (a *app) usageExit(err error) int {
	var parseErr *flags.Error
	if errors.As(err, &parseErr) && parseErr.Type == flags.ErrHelp {
		fmt.Fprintln(a.stdout, parseErr.Message)
		return ExitOK
	}
	fmt.Fprintln(a.stderr, "carawaypick:", err)
	return ExitUsage
}

// exitCode prints err and returns its exit code.
func (a *app) exitCode(err error) int {
	if err == nil {
		return ExitOK
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
	return ExitFailed
}

// commandSpec describes one command for the parser.
type commandSpec struct {
	name  string
	short string
	long  string
	data  any // options of the command, with its Execute method
}

func (a *app) commands() []commandSpec {
	return []commandSpec{
		{"entry", "serve callers", "Serves callers on an entry instance until SIGINT or SIGTERM, then drains. A second signal ends it immediately. The command settings shows every field with its unit and default.", &roleCommand{app: a, role: "entry"}},
		{"agent", "serve one backend server", "Serves the backend server of this instance until SIGINT or SIGTERM, then drains. A second signal ends it immediately. The command settings shows every field with its unit and default.", &roleCommand{app: a, role: "agent"}},
		{"front", "serve callers on the platform", "Serves callers directly from the backend servers, with the settings file that the platform names, until SIGINT or SIGTERM.", &frontCommand{app: a}},
		{"rank", "serve one rank on the platform", "Reads the expert counts of this instance's engine and, in one process of each group, coordinates the switch of the group to better expert maps, until SIGINT or SIGTERM.", &rankCommand{app: a}},
		{"check", "validate a change ticket", "Validates the change ticket in FILE against the state in force and shows why it would be skipped.", &checkCommand{ticketCommand{app: a}}},
		{"diff", "show what a change ticket changes", "Shows each field that the change ticket in FILE would change in the state in force.", &diffCommand{ticketCommand{app: a}}},
		{"status", "show the status of each process", "Shows one row per process. It exits with 1 if some processes did not answer, and with 3 if none did.", &statusCommand{queryOptions: queryOptions{app: a}}},
		{"wait", "wait until a ticket is in force", "Waits until ticket N is in force at every listed process.", &waitCommand{queryOptions: queryOptions{app: a}}},
		{"explain", "show how a request was routed", "Shows the decisions on the request id KEY that the processes still store, or the log lines about it.", &explainCommand{queryOptions: queryOptions{app: a}}},
		{"route", "show where a request would go now", "Shows where a running entry would send a request now, and why, without sending it. The API key is read from a file and never shown.", &routeCommand{app: a}},
		{"settings", "show the settings and where they come from", "Shows each setting, its value and its source: file, environment, flag or default. Secrets are hidden. Without a file it shows the meaning, unit, allowed values and default of each field.", &settingsCommand{app: a}},
		{"schema", "show the JSON schema of a settings file", "Shows the JSON schema that settings files are checked against, with units, ranges and defaults.", &schemaCommand{app: a}},
		{"plan", "plan expert maps", "Reads reports of expert counts as JSON lines from standard input and writes one line per report to standard output.", &planCommand{app: a}},
		{"version", "show the version", "Shows the version of the program and of Go.", &versionCommand{app: a}},
	}
}
