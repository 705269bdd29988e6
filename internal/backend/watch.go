package backend

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"carawaypick/internal/balance"
	"carawaypick/internal/kernel"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// missesDown is the number of reports that must fail in a row before the backend server counts as down.
const missesDown = 3

// watch asks the backend server for its report until ctx ends.
func (a *Agent) watch(ctx context.Context) <-chan error {
	return kernel.Start(ctx, func(ctx context.Context) error {
		ticker := time.NewTicker(probePeriod.Duration())
		defer ticker.Stop()
		for {
			_, _ = a.probe(ctx) // a failed report is counted inside
			a.pump()
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
}

// ask starts a report in the background; mu is held.
func (a *Agent) ask() {
	if a.probing {
		return
	}
	a.probing = true
	a.workers.Go(func() {
		_, _ = a.probe(context.Background()) // a failed report is counted inside
		a.mu.Lock()
		a.probing = false
		a.mu.Unlock()
		a.pump()
	})
}

// probe asks for one report and takes in what it says.
func (a *Agent) probe(ctx context.Context) (load Load, err error) {
	a.mu.Lock()
	doubts := a.doubts
	a.mu.Unlock()
	load, err = a.dialect.Load(ctx)
	if ctx.Err() != nil {
		return load, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.miss()
		return load, err
	}
	a.observe(load, doubts)
	return load, nil
}

// miss counts a report that did not come; mu is held.
func (a *Agent) miss() {
	a.misses++
	if a.down || a.misses < missesDown {
		return
	}
	a.fall()
}

// fall marks the backend server as down; mu is held.
func (a *Agent) fall() {
	if !a.down {
		level.Warn(a.telemetry.Logger).Log("msg", "backend server is down", "running", len(a.running))
	}
	a.down = true
	a.ramp.Restart(a.clock.Now())
}

// observe takes a report in; mu is held.
func (a *Agent) observe(load Load, doubts uint64) {
	now := a.clock.Now()
	restarted := a.seen && load.Incarnation != a.load.Incarnation
	if restarted || a.down || !a.seen {
		a.ramp.Restart(now)
		level.Info(a.telemetry.Logger).Log("msg", "backend server started", "incarnation", load.Incarnation)
	}
	if a.doubts == doubts {
		a.doubt = false
	}
	a.misses = 0
	a.down = false
	a.seen = true
	a.load = load
	a.loaded = now
}

// crashed tells whether the answer to w broke off because the backend server went down under it.
func (a *Agent) crashed(w *work) bool {
	a.mu.Lock()
	a.doubt = true
	a.doubts++
	a.mu.Unlock()
	load, err := a.probe(w.root)
	if err == nil && load.Incarnation == w.incarnation {
		return false
	}
	a.mu.Lock()
	if err != nil {
		a.fall()
	}
	crash, fresh := a.accuse(w)
	a.mu.Unlock()
	if fresh {
		a.member.AddEvidence(evidence(crash))
		a.telemetry.Metrics.Crashes.Get(evidenceKind(crash)).Inc()
		level.Warn(a.telemetry.Logger).Log("msg", "backend server crashed", "crash", crash.Name, "contents", len(crash.Contents), "alone", crash.Alone)
	}
	return true
}

// accuse records the crash under w with all contents that ran at the same incarnation; mu is held.
func (a *Agent) accuse(w *work) (crash balance.Crash, fresh bool) {
	crash = balance.Crash{
		Name:  fmt.Sprintf("%s/%x/%s", a.settings.Name, a.incarnation, w.incarnation),
		Alone: a.alone && len(a.running) == 1,
		At:    a.clock.Now(),
	}
	for other := range a.running {
		if other.incarnation == w.incarnation {
			crash.Contents = append(crash.Contents, other.request.GetFingerprint())
		}
	}
	return crash, a.suspects.Add(crash)
}

func evidence(crash balance.Crash) *peerpb.Evidence {
	return &peerpb.Evidence{Crash: crash.Name, Contents: crash.Contents, Alone: crash.Alone}
}

func evidenceKind(crash balance.Crash) string {
	if crash.Alone {
		return "alone"
	}
	return "shared"
}

// clearance tells the other processes that a suspect ran whole here.
func clearance(name string, content uint64, now clock.Time) *peerpb.Evidence {
	return &peerpb.Evidence{
		Crash:    fmt.Sprintf("whole/%s/%x/%d", name, content, now),
		Contents: []uint64{content},
		Whole:    true,
	}
}
