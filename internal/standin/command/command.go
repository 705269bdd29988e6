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
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// started is the line that a stand-in prints when it serves.
type started struct {
	Address string   `json:"address"`         // host:port
	Ranks   []string `json:"ranks,omitempty"` // host:port by rank
}

type shared struct {
	Listen string `long:"listen" description:"address to listen on, host:port; a free loopback port by default"`
	output io.Writer
}

type ticketsCommand struct {
	shared
	Folder string `long:"folder" description:"folder of numbered ticket files, NUMBER.json, rescanned every 100 ms"`
}

type listCommand struct {
	shared
	File string `long:"file" description:"file of instances, rescanned every 100 ms"`
}

type engineCommand struct{ shared }

type plainCommand struct{ shared }

type groupCommand struct {
	shared
	Ranks int `long:"ranks" default:"4" description:"number of ranks"`
}

type weightsCommand struct {
	shared
	Rate int `long:"rate" default:"67108864" description:"bytes a second, all readers together"`
}

// Run runs one subcommand and returns the exit code: 0 done, 1 failed, 2 wrong usage.
func Run(arguments []string, output, errorOutput io.Writer) int {
	parser := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	s := shared{output: output}
	add(parser, "tickets", "the configuration service", &ticketsCommand{shared: s})
	add(parser, "list", "the list of instances", &listCommand{shared: s})
	add(parser, "engine", "a model engine", &engineCommand{shared: s})
	add(parser, "plain", "a plain service", &plainCommand{shared: s})
	add(parser, "group", "a group of ranks in lock-step", &groupCommand{shared: s})
	add(parser, "weights", "the weight store", &weightsCommand{shared: s})
	addDemo(parser, &demoCommand{output: output})
	_, err := parser.ParseArgs(arguments)
	if err == nil {
		return exitDone
	}
	usage, ok := err.(*flags.Error)
	switch {
	case ok && usage.Type == flags.ErrHelp:
		fmt.Fprintln(output, usage.Message)
		return exitDone
	case ok:
		fmt.Fprintln(errorOutput, usage.Message)
		return exitUsage
	default:
		fmt.Fprintln(errorOutput, err)
		return exitFailed
	}
}

func addDemo(parser *flags.Parser, data *demoCommand) {
	const text = "Starts 6 entries, 6 engines and 3 plain services in 3 availability zones, sends the requests, prints the answers and fails where one is wrong."
	if _, err := parser.AddCommand("demo", "send two users' requests through a fleet", text, data); err != nil {
		panic(err) // a wrong tag above
	}
}

func add(parser *flags.Parser, name, text string, data any) {
	if _, err := parser.AddCommand(name, "run "+text, "Stands in for "+text+" until interrupted; prints its address as a JSON line.", data); err != nil {
		panic(err) // a wrong tag above
	}
}

// Execute runs the configuration service.
func (c *ticketsCommand) Execute([]string) error {
	s, err := standin.NewTickets(c.Listen, c.Folder)
	if err != nil {
		return err
	}
	return c.serve(started{Address: s.Address}, s.Stop)
}

// Execute runs the instance list.
func (c *listCommand) Execute([]string) error {
	s, err := standin.NewList(c.Listen, c.File)
	if err != nil {
		return err
	}
	return c.serve(started{Address: s.Address}, s.Stop)
}

// Execute runs an engine.
func (c *engineCommand) Execute([]string) error {
	s, err := standin.NewEngine(c.Listen)
	if err != nil {
		return err
	}
	return c.serve(started{Address: s.Address}, s.Stop)
}

// Execute runs a plain service.
func (c *plainCommand) Execute([]string) error {
	s, err := standin.NewPlain(c.Listen)
	if err != nil {
		return err
	}
	return c.serve(started{Address: s.Address}, s.Stop)
}

// Execute runs a group of ranks.
func (c *groupCommand) Execute([]string) error {
	s, err := standin.NewGroup(c.Listen, c.Ranks)
	if err != nil {
		return err
	}
	line := started{Address: s.Address}
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
	return c.serve(started{Address: s.Address}, s.Stop)
}

// serve prints the line and waits for SIGINT or SIGTERM.
func (s *shared) serve(line started, stop func()) error {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	if err := json.NewEncoder(s.output).Encode(line); err != nil {
		return err
	}
	<-ended
	stop()
	return nil
}
