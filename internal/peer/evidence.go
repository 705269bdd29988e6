package peer

import (
	"carawaypick/internal/balance"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// Weigh adds the crash reports and run reports of other processes to the suspects.
func Weigh(now clock.Time, suspects *balance.Suspects, evidence []*peerpb.Evidence) {
	for _, report := range evidence {
		at := now.Add(-clock.Span(report.GetAge()))
		if report.GetWhole() {
			for _, content := range report.GetContents() {
				suspects.Whole(at, content)
			}
			continue
		}
		suspects.Add(balance.Crash{Name: report.GetCrash(), Contents: report.GetContents(), Alone: report.GetAlone(), At: at})
	}
}
