package expert

import "strconv"

// Limits of a report, which bound a planner's memory.
const (
	maxRanks      = 4096
	maxSlots      = 4096
	maxExperts    = 4096
	maxLayers     = 1024
	maxTotalSlots = 1 << 22 // slots over all ranks and layers
	maxTokenCount = 1 << 50 // tokens of one expert in one step
)

// Report is the token counts of one step, summed over all ranks.
type Report struct {
	Step           uint64    `json:"step"`
	Ranks          int       `json:"ranks"`
	Slots          int       `json:"slots"`  // expert slots per rank and layer
	ExpertBytes    int64     `json:"weight"` // bytes of one expert
	BytesPerSecond int64     `json:"rate"`   // throughput of the weight store in bytes per second
	Layers         [][]int64 `json:"layers"` // tokens routed to each expert, by layer
}

// Shape returns the dimensions of the maps for this report.
func (r Report) Shape() Shape {
	s := Shape{Ranks: r.Ranks, Slots: r.Slots, Layers: len(r.Layers)}
	if len(r.Layers) > 0 {
		s.Experts = len(r.Layers[0])
	}
	return s
}

// Check returns a FieldError for the first invalid field.
func (r Report) Check() error {
	s := r.Shape()
	switch {
	case r.Ranks < 1 || r.Ranks > maxRanks:
		return &FieldError{Field: "ranks", Reason: "outside 1 to " + strconv.Itoa(maxRanks)}
	case r.Slots < 1 || r.Slots > maxSlots:
		return &FieldError{Field: "slots", Reason: "outside 1 to " + strconv.Itoa(maxSlots)}
	case r.ExpertBytes < 1:
		return &FieldError{Field: "weight", Reason: "below 1"}
	case r.BytesPerSecond < 1:
		return &FieldError{Field: "rate", Reason: "below 1"}
	case s.Layers < 1 || s.Layers > maxLayers:
		return &FieldError{Field: "layers", Reason: "number of layers outside 1 to " + strconv.Itoa(maxLayers)}
	case s.Experts < 1 || s.Experts > maxExperts:
		return &FieldError{Field: "layers[0]", Reason: "number of experts outside 1 to " + strconv.Itoa(maxExperts)}
	case s.Ranks*s.Slots < s.Experts:
		return &FieldError{Field: "slots", Reason: "fewer slots than experts"}
	case s.Ranks*s.Slots > maxTotalSlots/s.Layers:
		return &FieldError{Field: "slots", Reason: "more slots than a planner holds"}
	}
	return r.checkCounts(s.Experts)
}

func (r Report) checkCounts(experts int) error {
	for l, counts := range r.Layers {
		field := "layers[" + strconv.Itoa(l) + "]"
		if len(counts) != experts {
			return &FieldError{Field: field, Reason: "ragged: not as many experts as layers[0]"}
		}
		for e, c := range counts {
			if c < 0 || c > maxTokenCount {
				return &FieldError{Field: field + "[" + strconv.Itoa(e) + "]", Reason: "count outside 0 to 2^50"}
			}
		}
	}
	return nil
}

// loadSeconds returns the time in seconds to load one expert from the weight store.
func (r Report) loadSeconds() float64 {
	return float64(r.ExpertBytes) / float64(r.BytesPerSecond)
}
