package outage

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"carawaypick/internal/standin"
	"carawaypick/pkg/clock"
)

// Phases of one run.
const (
	before = iota
	out
	back
	phases
)

// sample is one ended call.
type sample struct {
	phase    int
	team     int
	outcome  standin.Outcome
	reason   string
	first    clock.Span // ms to the first event
	all      clock.Span // ms to the end
	deadline clock.Span
}

// load sends calls at a fixed rate whatever becomes of them.
type load struct {
	callers []*standin.Caller // by team
	clock   clock.Clock

	mu      sync.Mutex
	phase   int
	samples []sample
	calls   conc.WaitGroup
	number  int
}

// body is a model call's body.
type body struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
}

// run sends calls for span ms at rate calls a second, dealt out over the teams by their parts of the load.
func (l *load) run(ctx context.Context, phase int, rate float64, span clock.Span) {
	l.mu.Lock()
	l.phase = phase
	l.mu.Unlock()
	start := l.clock.Now()
	period := float64(clock.Second) / rate
	for n := 0; ; n++ {
		due := start.Add(clock.Span(float64(n) * period))
		if due.Sub(start) >= span || ctx.Err() != nil {
			return
		}
		time.Sleep(due.Sub(l.clock.Now()).Duration())
		l.number++
		number := l.number
		l.calls.Go(func() { l.one(ctx, phase, number) })
	}
}

func (l *load) one(ctx context.Context, phase, number int) {
	team := pick(number)
	content, err := json.Marshal(body{
		Prompt: fmt.Sprintf("%s, Vorlage %d: bitte Satz %d prüfen", teams[team].name, number%prompts, number),
		Tokens: callTokens,
	})
	if err != nil {
		return
	}
	answer := l.callers[team].Do(ctx, standin.Call{
		ID:         fmt.Sprint("call-", number),
		Path:       "/generate",
		Body:       content,
		Priority:   teams[team].priority,
		Deadline:   deadline,
		Idempotent: true,
		Sends:      1,
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, sample{
		phase: phase, team: team, outcome: answer.Outcome, reason: answer.Reason,
		first: answer.First, all: answer.All, deadline: deadline,
	})
}

// team is one team of the load with its share and its part of the calls.
type team struct {
	name     string
	share    int
	priority int
	part     int // calls of each ten
}

// teams are a festival desk's: the jury has the highest share, the press the lowest.
var teams = []team{
	{name: "jury", share: 5, priority: 9, part: 2},
	{name: "thurgau", share: 3, priority: 5, part: 4},
	{name: "press", share: 1, priority: 1, part: 4},
}

// pick deals calls out over the teams.
func pick(number int) int {
	place := (number * 7) % 10
	for i, t := range teams {
		if place < t.part {
			return i
		}
		place -= t.part
	}
	return 0
}
