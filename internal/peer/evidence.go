package peer

import (
	"carawaypick/internal/balance"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// ApplyEvidence adds the crash reports and run reports of other processes to the suspects.
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
