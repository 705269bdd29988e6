package balance

import "carawaypick/pkg/clock"

// rampPause is the least time in ms between two growths of a window.
const rampPause = 100 * clock.Millisecond

// Ramp limits the requests that a backend server gets at once while it warms up.
type Ramp struct {
	cold   uint32
	warm   uint32
	window uint32
	done   uint32
	grown  clock.Time
}

// NewRamp returns a closed ramp from cold to warm requests at once.
func NewRamp(cold, warm uint32) *Ramp {
	cold = max(cold, 1)
	warm = max(warm, cold)
	return &Ramp{cold: cold, warm: warm, window: cold}
}

// Restart closes the window after a cold start of the backend server.
func (r *Ramp) Restart(now clock.Time) {
	r.window = r.cold
	r.done = 0
	r.grown = now
}

// Limit changes the bounds of the window and closes it to the new upper bound.
func (r *Ramp) Limit(cold, warm uint32) {
	r.cold = max(cold, 1)
	r.warm = max(warm, r.cold)
	r.window = min(max(r.window, r.cold), r.warm)
}

// Done counts a request that ran whole with the given tokens; one without tokens is no evidence of warmth.
//
// The window grows by one request for each whole window of completed requests.
func (r *Ramp) Done(now clock.Time, tokens uint32) {
	if tokens == 0 || r.window >= r.warm {
		return
	}
	r.done = min(r.done+1, r.window)
	if r.done < r.window || now.Sub(r.grown) < rampPause {
		return
	}
	r.window++
	r.done = 0
	r.grown = now
}

// Window returns the requests that the backend server bears at once.
func (r *Ramp) Window(_ clock.Time) uint32 {
	return r.window
}
