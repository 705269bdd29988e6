package peer

import (
	"carawaypick/internal/balance"
	"carawaypick/internal/peer/peerpb"
	"carawaypick/pkg/clock"
)

// Weigh adds evidence from other processes to the suspects.
func Weigh(now clock.Time, suspects *balance.Suspects, evidence []*peerpb.Evidence) {
	for _, v := range evidence {
		at := now.Add(-clock.Span(v.GetAge()))
		if v.GetWhole() {
			for _, content := range v.GetContents() {
				suspects.Whole(at, content)
			}
			continue
		}
		suspects.Add(balance.Crash{Name: v.GetCrash(), Contents: v.GetContents(), Alone: v.GetAlone(), At: at})
	}
}
