package balance

import "carawaypick/pkg/clock"

// RetryShare is one chooser's part of the retries that all choosers together may make in a window.
//
// It answers the restart of many choosers at one moment: each begins with nothing and saves up, so that the sum stays
// within the bound although none counts for all.
type RetryShare struct {
	Ratio  float64    // retries that each request earns
	Slack  float64    // retries allowed in a window besides, for all choosers
	Window clock.Span // in ms

	tokens float64
	filled clock.Time
	begun  bool
}

// Earn counts a first attempt; part is this chooser's part of the slack.
func (r *RetryShare) Earn(now clock.Time, part float64) {
	r.fill(now, part)
	r.tokens = min(r.tokens+r.Ratio, r.most(part))
}

// Spend takes one retry, or reports that there is none.
func (r *RetryShare) Spend(now clock.Time, part float64) bool {
	r.fill(now, part)
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// fill adds the slack that came in since the last call: half of it flows in over a window, half may be saved up.
func (r *RetryShare) fill(now clock.Time, part float64) {
	if r.begun && r.Window > 0 {
		r.tokens += r.Slack * part / 2 * float64(now.Sub(r.filled)) / float64(r.Window)
		r.tokens = min(r.tokens, r.most(part))
	}
	r.begun, r.filled = true, now
}

// most returns the retries that may be saved up.
func (r *RetryShare) most(part float64) float64 {
	return r.Slack * part / 2
}
