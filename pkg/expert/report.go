package expert

import "strconv"

// Limits of a report, which keep a planner's memory bounded.
const (
	maxRanks   = 4096
	maxSlots   = 4096
	maxExperts = 4096
	maxLayers  = 1024
	maxPlaces  = 1 << 22 // slots of all ranks and layers
	maxCount   = 1 << 50 // tokens of one expert in one step
)

// Report is what all ranks together counted in one step.
type Report struct {
	Step   uint64    `json:"step"`
	Ranks  int       `json:"ranks"`
	Slots  int       `json:"slots"`  // expert slots a rank and layer
	Weight int64     `json:"weight"` // bytes of one expert
	Rate   int64     `json:"rate"`   // bytes a second of the weight store
	Layers [][]int64 `json:"layers"` // tokens routed to each expert
}

// Shape returns the size of the maps that the report asks for.
func (r Report) Shape() Shape {
	s := Shape{Ranks: r.Ranks, Slots: r.Slots, Layers: len(r.Layers)}
	if len(r.Layers) > 0 {
		s.Experts = len(r.Layers[0])
	}
	return s
}

// Check returns a ShapeError for the first impossible field.
func (r Report) Check() error {
	s := r.Shape()
	switch {
	case r.Ranks < 1 || r.Ranks > maxRanks:
		return &ShapeError{Field: "ranks", Reason: "outside 1 to " + strconv.Itoa(maxRanks)}
	case r.Slots < 1 || r.Slots > maxSlots:
		return &ShapeError{Field: "slots", Reason: "outside 1 to " + strconv.Itoa(maxSlots)}
	case r.Weight < 1:
		return &ShapeError{Field: "weight", Reason: "below 1"}
	case r.Rate < 1:
		return &ShapeError{Field: "rate", Reason: "below 1"}
	case s.Layers < 1 || s.Layers > maxLayers:
		return &ShapeError{Field: "layers", Reason: "number of layers outside 1 to " + strconv.Itoa(maxLayers)}
	case s.Experts < 1 || s.Experts > maxExperts:
		return &ShapeError{Field: "layers[0]", Reason: "number of experts outside 1 to " + strconv.Itoa(maxExperts)}
	case s.Ranks*s.Slots < s.Experts:
		return &ShapeError{Field: "slots", Reason: "fewer slots than experts"}
	case s.Ranks*s.Slots > maxPlaces/s.Layers:
		return &ShapeError{Field: "slots", Reason: "more slots than a planner holds"}
	}
	return r.checkCounts(s.Experts)
}

func (r Report) checkCounts(experts int) error {
	for l, counts := range r.Layers {
		field := "layers[" + strconv.Itoa(l) + "]"
		if len(counts) != experts {
			return &ShapeError{Field: field, Reason: "ragged: not as many experts as layers[0]"}
		}
		for e, c := range counts {
			if c < 0 || c > maxCount {
				return &ShapeError{Field: field + "[" + strconv.Itoa(e) + "]", Reason: "count outside 0 to 2^50"}
			}
		}
	}
	return nil
}

// load returns the seconds that the weight store needs for one expert.
func (r Report) load() float64 {
	return float64(r.Weight) / float64(r.Rate)
}
