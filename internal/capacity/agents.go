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
	agentService = "check"
	agentZones   = 6
)

// agentRows measures the memory of an entry's agent state and the time to pick an agent.
func agentRows() []measure.Row {
	rows := slopeRows("board.memory", "bytes", "agent", agentSizes, func(size int) float64 {
		return retainedBytes(func() any { return newAgentTracker(size) })
	})
	return append(rows, slopeRows("choice.time", "ns", "agent", agentSizes, func(size int) float64 {
		tracker := newAgentTracker(size)
		picker := balance.Picker{Random: rand.Uint64, Config: balance.DefaultPickerConfig()}
		state := &ticket.State{}
		return timePerRun(func(n int) {
			_, candidates := tracker.Candidates(agentService, state)
			picker.Pick(balance.PickInfo{PrefixHash: uint64(n), Fingerprint: uint64(n), Tokens: 64, Zone: "z1"}, candidates)
		})
	})...)
}

func newAgentTracker(size int) *caller.AgentTracker {
	tracker := caller.NewAgentTracker(clock.New(), clock.Hour)
	agents := make([]platform.Instance, 0, size)
	for i := range size {
		agents = append(agents, platform.Instance{
			Name:    fmt.Sprintf("agent-%04d", i),
			Role:    platform.AgentRole,
			Peer:    fmt.Sprintf("127.0.0.1:%d", 10_000+i),
			Zone:    fmt.Sprint("z", i%agentZones),
			Service: agentService,
			State:   platform.StateLive,
		})
	}
	tracker.Update(agents)
	for i := range size {
		tracker.ReceiveReport(newReport(fmt.Sprintf("agent-%04d", i)))
	}
	return tracker
}

// newReport returns a typical report of an agent.
func newReport(name string) *peerpb.Report {
	return &peerpb.Report{
		Name: name, Incarnation: rand.Uint64(), Clock: 86_400_000, State: "live", Window: 32, Grant: 4,
		Running: 20, Queued: 3, Tokens: 40_000, Rate: 3000, Load: 40_000, Age: 150, Life: 10_000,
		Digest: &peerpb.Digest{Number: 100_000, Hash: rand.Uint64(), List: 20_000},
	}
}
