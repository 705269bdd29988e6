package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"carawaypick/internal/standin"
)

// Exit codes of the command.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// startLine is the JSON line that a stand-in prints once it listens.
type startLine struct {
	Address string   `json:"address"`         // host:port
	Ranks   []string `json:"ranks,omitempty"` // host:port by rank
}

// commonOptions are the options of all stand-ins.
type commonOptions struct {
	Listen string    `long:"listen" description:"address to listen on, host:port; a free loopback port by default"`
	output io.Writer // the start line is written to it
}

type ticketsCommand struct {
	commonOptions
	Folder string `long:"folder" description:"folder of numbered ticket files, NUMBER.json, rescanned every 100 ms"`
}

type listCommand struct {
	commonOptions
	File string `long:"file" description:"file of instances, rescanned every 100 ms"`
}

type engineCommand struct{ commonOptions }

type plainCommand struct{ commonOptions }

type groupCommand struct {
	commonOptions
	Ranks int `long:"ranks" default:"4" description:"number of ranks"`
}

type weightsCommand struct {
	commonOptions
	Rate int `long:"rate" default:"67108864" description:"bytes a second, all readers together"`
}

// Run runs one subcommand and returns the exit code: 0 for success, 1 for a failure, 2 for wrong usage.
func Run(arguments []string, output, errorOutput io.Writer) int {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	s := commonOptions{output: output}
	addStandin(parser, "tickets", "the configuration service", &ticketsCommand{commonOptions: s})
	addStandin(parser, "list", "the list of instances", &listCommand{commonOptions: s})
	addStandin(parser, "engine", "a model engine", &engineCommand{commonOptions: s})
	addStandin(parser, "plain", "a plain service", &plainCommand{commonOptions: s})
	addStandin(parser, "group", "a group of ranks that run in lock-step", &groupCommand{commonOptions: s})
	addStandin(parser, "weights", "the weight store", &weightsCommand{commonOptions: s})
	addDemo(parser, &demoCommand{output: output})
	_, err := parser.ParseArgs(arguments)
	if err == nil {
		return exitOK
	}
	usageError, ok := err.(*flags.Error)
	switch {
	case ok && usageError.Type == flags.ErrHelp:
		fmt.Fprintln(output, usageError.Message)
		return exitOK
	case ok:
		fmt.Fprintln(errorOutput, usageError.Message)
		return exitUsage
	default:
		fmt.Fprintln(errorOutput, err)
		return exitFailed
	}
}

func addDemo(parser *flags.Parser, data *demoCommand) {
	const text = "Starts 6 entries, 6 engines and 3 plain services in 3 availability zones, sends the requests, prints the responses and fails if one of them is wrong."
	if _, err := parser.AddCommand("demo", "send the requests of two users through a fleet", text, data); err != nil {
		panic(err) // invalid struct tag
	}
}

func addStandin(parser *flags.Parser, name, text string, data any) {
	if _, err := parser.AddCommand(name, "run "+text, "Runs a stand-in for "+text+" until interrupted; prints its address as a JSON line.", data); err != nil {
		panic(err) // invalid struct tag
	}
}

// Execute runs the configuration service.
func (c *ticketsCommand) Execute([]string) error {
	s, err := standin.NewTickets(c.Listen, c.Folder)
	if err != nil {
		return err
	}
	return c.serve(startLine{Address: s.Address}, s.Stop)
}

// Execute runs the instance list.
func (c *listCommand) Execute([]string) error {
	s, err := standin.NewList(c.Listen, c.File)
	if err != nil {
		return err
	}
	return c.serve(startLine{Address: s.Address}, s.Stop)
}

// Execute runs an engine.
func (c *engineCommand) Execute([]string) error {
	s, err := standin.NewEngine(c.Listen)
	if err != nil {
		return err
	}
	return c.serve(startLine{Address: s.Address}, s.Stop)
}

// Execute runs a plain service.
func (c *plainCommand) Execute([]string) error {
	s, err := standin.NewPlain(c.Listen)
	if err != nil {
		return err
	}
	return c.serve(startLine{Address: s.Address}, s.Stop)
}

// Execute runs a group of ranks.
func (c *groupCommand) Execute([]string) error {
	s, err := standin.NewGroup(c.Listen, c.Ranks)
	if err != nil {
		return err
	}
	line := startLine{Address: s.Address}
	for _, r := range s.Ranks {
		line.Ranks = append(line.Ranks, r.Address)
	}
	return c.serve(line, s.Stop)
}

// Execute runs the weight store.
func (c *weightsCommand) Execute([]string) error {
	s, err := standin.NewWeights(c.Listen, c.Rate)
	if err != nil {
		return err
	}
	return c.serve(startLine{Address: s.Address}, s.Stop)
}

// serve prints the start line and blocks until SIGINT or SIGTERM, then stops the stand-in.
func (s *commonOptions) serve(line startLine, stop func()) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	if err := json.NewEncoder(s.output).Encode(line); err != nil {
		return err
	}
	<-signals
	stop()
	return nil
}
