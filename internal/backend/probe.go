package backend

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/log/level"

	"carawaypick/internal/balance"
	"carawaypick/internal/lifecycle"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// maxMissedReports is the number of consecutive failed reports after which the backend server counts as down.
const maxMissedReports = 3

// probeLoop requests the load report every reportInterval until ctx ends.
func (a *Agent) probeLoop(ctx context.Context) <-chan error {
	return lifecycle.Start(ctx, func(ctx context.Context) error {
		ticker := time.NewTicker(reportInterval.Duration())
		defer ticker.Stop()
		for {
			_, _ = a.probe(ctx) // probe counts failed reports
			a.dispatchQueued()
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
		}
	})
}

// startProbe requests a load report in the background unless one is in progress; mu is held.
func (a *Agent) startProbe() {
	if a.probing {
		return
	}
	a.probing = true
	a.workers.Go(func() {
		_, _ = a.probe(context.Background()) // probe counts failed reports
		a.mu.Lock()
		a.probing = false
		a.mu.Unlock()
		a.dispatchQueued()
	})
}

// probe requests one load report and applies it.
func (a *Agent) probe(ctx context.Context) (load LoadReport, err error) {
	a.mu.Lock()
	suspensions := a.suspensions
	a.mu.Unlock()
	load, err = a.protocol.Load(ctx)
	if ctx.Err() != nil {
		return load, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.recordMiss()
		return load, err
	}
	a.applyReport(load, suspensions)
	return load, nil
}

// recordMiss counts a failed report and marks the backend server as down after maxMissedReports; mu is held.
func (a *Agent) recordMiss() {
	a.missedReports++
	if a.down || a.missedReports < maxMissedReports {
		return
	}
	a.markDown()
}

// markDown marks the backend server as down and restarts its slow start; mu is held.
func (a *Agent) markDown() {
	if !a.down {
		level.Warn(a.telemetry.Logger).Log("msg", "backend server is down, rejecting requests until it reports", "running", len(a.running))
	}
	a.down = true
	a.slowStart.Restart(a.clock.Now())
}

// applyReport stores a load report, and restarts the slow start at the first report and after a restart or downtime; mu
// is held.
func (a *Agent) applyReport(load LoadReport, suspensions uint64) {
	now := a.clock.Now()
	restarted := a.reported && load.Incarnation != a.load.Incarnation
	if restarted || a.down || !a.reported {
		a.slowStart.Restart(now)
		level.Info(a.telemetry.Logger).Log("msg", "backend server started", "incarnation", load.Incarnation)
	}
	a.verifyReport(now, load, suspensions)
	a.missedReports = 0
	a.down = false
	a.reported = true
	a.load = load
	a.loadedAt = now
}

// verifyReport resumes dispatch if the report describes the backend server's current process, and suspends dispatch if
// the report may describe the previous one because it was delayed; mu is held.
func (a *Agent) verifyReport(now clock.Time, load LoadReport, suspensions uint64) {
	sameEpoch := a.protocol.Epoch != nil && a.reported && load.Epoch == a.verifiedEpoch
	if a.reported && !sameEpoch && !a.suspended && load.Age > 0 {
		a.suspend()
		return
	}
	newer := now.Add(-load.Age) >= a.suspendedAt
	if a.suspensions != suspensions || (!newer && !sameEpoch) {
		return
	}
	a.suspended = false
	a.verifiedEpoch = load.Epoch
}

// detectCrash reports whether the backend server has restarted since the dispatch of w or does not answer a probe, and
// publishes a crash report if so. It suspends dispatch before the probe.
func (a *Agent) detectCrash(w *work) bool {
	a.mu.Lock()
	a.suspend()
	a.mu.Unlock()
	load, err := a.probe(w.root)
	if err == nil && load.Incarnation == w.incarnation && load.Epoch == w.epoch {
		return false
	}
	a.mu.Lock()
	if err != nil {
		a.markDown()
	}
	crash, fresh := a.recordCrash(w)
	a.mu.Unlock()
	if fresh {
		a.member.AddEvidence(crashReport(crash))
		a.telemetry.Metrics.Crashes.Get(crashKind(crash)).Inc()
		level.Warn(a.telemetry.Logger).Log("msg", "backend server crashed", "crash", crash.ID, "contents", len(crash.Contents), "alone", crash.Isolated)
	}
	return true
}

// recordCrash records a crash with the contents of all work that ran on the same incarnation as w; mu is held.
func (a *Agent) recordCrash(w *work) (crash balance.Crash, fresh bool) {
	crash = balance.Crash{
		ID:       fmt.Sprintf("%s/%x/%s", a.settings.Name, a.incarnation, w.incarnation),
		Isolated: a.isolated && len(a.running) == 1,
		At:       a.clock.Now(),
	}
	for other := range a.running {
		if other.incarnation == w.incarnation {
			crash.Contents = append(crash.Contents, other.request.GetFingerprint())
		}
	}
	return crash, a.suspects.AddCrash(crash)
}

func crashReport(crash balance.Crash) *peerpb.Evidence {
	return &peerpb.Evidence{Crash: crash.ID, Contents: crash.Contents, Alone: crash.Isolated}
}

func crashKind(crash balance.Crash) string {
	if crash.Isolated {
		return "alone"
	}
	return "shared"
}

// runReport returns the report that clears a suspect after a completed run.
func runReport(name string, content uint64, now clock.Time) *peerpb.Evidence {
	return &peerpb.Evidence{
		Crash:    fmt.Sprintf("whole/%s/%x/%d", name, content, now),
		Contents: []uint64{content},
		Whole:    true,
	}
}
