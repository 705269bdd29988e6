package gateway

import (
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"carawaypick/internal/store"
	"carawaypick/pkg/clock"
)

// Progress is what a process has applied, each with the ms since it last changed.
type Progress struct {
	Era, Revision, Version          int64
	EraAge, RevisionAge, VersionAge clock.Span
	Age                             clock.Span // ms since the state was known to be what the store holds
	Retained                        int        // records in force that the store does not hold
	Unusable                        int        // records that can't be decoded
	Contested                       int        // registrations with the address of another one
	Closed                          int        // registrations that get no requests, since another backend server is at their address
}

// Progress returns what has been applied.
func (cs *ClusterState) Progress() Progress {
	now, version := cs.clock.Now(), cs.ConfigVersion()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	era, revision := cs.position.Numbers()
	contested, closed := cs.View().CountContested()
	return Progress{
		Contested: contested, Closed: closed, Unusable: len(cs.unusable),
		Era: era, Revision: revision, Version: version, Retained: len(cs.retained), Age: now.Sub(cs.confirmedAt),
		EraAge: now.Sub(cs.eraAt), RevisionAge: now.Sub(cs.positionAt), VersionAge: now.Sub(cs.configAt),
	}
}

// logDropped logs that changes up to position are dropped; mu is held.
func (cs *ClusterState) logDropped(message string, count int, position store.Position, source string, more ...any) {
	knownEra, knownRevision := cs.position.Numbers()
	line := []any{"msg", message, "changes", count, "knownEra", knownEra, "known", knownRevision, "source", source}
	level.Warn(logAt(cs.logger, position)).Log(append(line, more...)...)
}

// logRecord logs a line on a record of the store, within the budget of its kind: other writers write as often as they like.
func (cs *ClusterState) logRecord(kind string, c Change, line ...any) {
	era, revision := c.Position.Numbers()
	cs.limitedLogger.Log(kind, append([]any{"era", era, "revision", revision}, line...)...)
}

// logAt returns a logger whose lines tell the position.
func logAt(logger log.Logger, p store.Position) log.Logger {
	era, revision := p.Numbers()
	return log.With(logger, "era", era, "revision", revision)
}

// registerProgress adds gauges of what this entry has read from the store.
func (e *Entry) registerProgress() {
	for name, value := range map[string]func(Progress) float64{
		"store_era":             func(p Progress) float64 { return float64(p.Era) },
		"store_era_age_ms":      func(p Progress) float64 { return float64(p.EraAge) },
		"store_revision":        func(p Progress) float64 { return float64(p.Revision) },
		"store_revision_age_ms": func(p Progress) float64 { return float64(p.RevisionAge) },
		"config_version":        func(p Progress) float64 { return float64(p.Version) },
		"config_version_age_ms": func(p Progress) float64 { return float64(p.VersionAge) },
		"state_age_ms":          func(p Progress) float64 { return float64(p.Age) },
		"records_retained":      func(p Progress) float64 { return float64(p.Retained) },

		"records_unusable":        func(p Progress) float64 { return float64(p.Unusable) },
		"registrations_contested": func(p Progress) float64 { return float64(p.Contested) },
		"registrations_closed":    func(p Progress) float64 { return float64(p.Closed) },
	} {
		e.metrics.RegisterGauge(name, func() float64 { return value(e.state.Progress()) })
	}
}
