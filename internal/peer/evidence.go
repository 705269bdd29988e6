package peer

import (
	"carawaypick/internal/balance"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// ApplyEvidence adds reports of crashes and of completed runs, received from other processes, to a suspect tracker.
func ApplyEvidence(now clock.Time, suspects *balance.SuspectTracker, evidence []*peerpb.Evidence) {
	for _, report := range evidence {
		at := now.Add(-clock.Span(report.GetAge()))
		if report.GetWhole() {
			for _, content := range report.GetContents() {
				suspects.RecordCompleted(at, content)
			}
			continue
		}
		suspects.AddCrash(balance.Crash{ID: report.GetCrash(), Contents: report.GetContents(), Isolated: report.GetAlone(), At: at})
	}
}
