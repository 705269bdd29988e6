package capacity

import (
	"fmt"
	"math/rand/v2"

	"carawaypick/internal/balance"
	"carawaypick/internal/caller"
	"carawaypick/internal/measure"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/internal/platform"
	"carawaypick/internal/ticket"
	"carawaypick/pkg/clock"
)

const (
	boardService = "check"
	boardZones   = 6
)

// boardRows measures what an entry knows of its agents and how it chooses one.
func boardRows() []measure.Row {
	rows := slope("board.memory", "bytes", "agent", agentSizes, func(size int) float64 {
		return held(func() any { return newBoard(size) })
	})
	return append(rows, slope("choice.time", "ns", "agent", agentSizes, func(size int) float64 {
		b := newBoard(size)
		chooser := balance.Chooser{Random: rand.Uint64, Tuning: balance.DefaultTuning()}
		state := &ticket.State{}
		return each(func(n int) {
			_, candidates := b.Candidates(boardService, state)
			chooser.Pick(balance.Call{Prefix: uint64(n), Fingerprint: uint64(n), Tokens: 64, Zone: "z1"}, candidates)
		})
	})...)
}

func newBoard(size int) *caller.Board {
	b := caller.NewBoard(clock.New(), clock.Hour)
	agents := make([]platform.Instance, 0, size)
	for i := range size {
		agents = append(agents, platform.Instance{
			Name:    fmt.Sprintf("agent-%04d", i),
			Role:    platform.AgentRole,
			Peer:    fmt.Sprintf("127.0.0.1:%d", 10_000+i),
			Zone:    fmt.Sprint("z", i%boardZones),
			Service: boardService,
			State:   platform.Live,
		})
	}
	b.Update(agents)
	for i := range size {
		b.Heard(report(fmt.Sprintf("agent-%04d", i)))
	}
	return b
}

// report is a typical report of an agent.
func report(name string) *peerpb.Report {
	return &peerpb.Report{
		Name: name, Incarnation: rand.Uint64(), Clock: 86_400_000, State: "live", Window: 32, Grant: 4,
		Running: 20, Queued: 3, Tokens: 40_000, Rate: 3000, Load: 40_000, Age: 150, Life: 10_000,
		Digest: &peerpb.Digest{Number: 100_000, Hash: rand.Uint64(), List: 20_000},
	}
}
