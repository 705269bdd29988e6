package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime bounds the time of a case.
const maxTime = 100 * time.Second

var (
	runsMu sync.Mutex
	runs   = make(map[string][]string) // engines that ran a request, by its id
	ended  = make(map[string]int)      // complete runs, by request id

	crashes []time.Time // of engines that a request ended
)

// observe records what an engine says of its runs.
func (in *installation) observe(engine, line string) {
	runsMu.Lock()
	defer runsMu.Unlock()
	word, rest, _ := strings.Cut(line, " id=")
	id, _, _ := strings.Cut(rest, " ")
	switch word {
	case "run":
		runs[id] = append(runs[id], engine)
	case "end":
		ended[id]++
	case "crash":
		crashes = append(crashes, time.Now())
	}
}

func ranAt(id string) []string {
	runsMu.Lock()
	defer runsMu.Unlock()
	return append([]string(nil), runs[id]...)
}

func main() {
	os.Exit(run())
}

// run runs a case, "standins CASE RECORD", or an engine.
func run() int {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE RECORD")
		return exitNotRun
	}
	if os.Args[1] == "engine" {
		if err := runEngine(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		return exitNotRun
	}
	cases := map[string]func(*installation, bool) (bool, error){"leaving": leavingCase, "uploads": uploadsCase, "version": versionCase, "mirror": mirrorCase, "parts": partsCase}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitNotRun
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	in, err := newInstallation(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxTime):
		}
		in.note("could not run: stopped, or not over after %s", maxTime)
		in.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(in, os.Getenv("TROUBLE") != "0")
	in.close()
	switch {
	case err != nil:
		in.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		in.note("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	in.note("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
