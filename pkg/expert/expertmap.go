package expert

// Map identifies the expert in each slot by its number, indexed by layer, rank and slot.
type Map [][][]int

// Shape is the dimensions of a group's expert maps.
type Shape struct {
	Ranks   int
	Slots   int // expert slots per rank and layer
	Experts int // experts per layer
	Layers  int
}

// RoundRobin returns the map that assigns experts to ranks in turn, in order of their numbers.
func RoundRobin(s Shape) Map {
	m := make(Map, s.Layers)
	for l := range m {
		m[l] = roundRobinLayer(s)
	}
	return m
}

func roundRobinLayer(s Shape) [][]int {
	ranks := make([][]int, s.Ranks)
	for r := range ranks {
		ranks[r] = make([]int, s.Slots)
		for i := range ranks[r] {
			ranks[r][i] = (i*s.Ranks + r) % s.Experts
		}
	}
	return ranks
}

// Clone returns a deep copy of m.
func (m Map) Clone() Map {
	c := make(Map, len(m))
	for l := range m {
		c[l] = cloneLayer(m[l])
	}
	return c
}

func cloneLayer(ranks [][]int) [][]int {
	c := make([][]int, len(ranks))
	for r := range ranks {
		c[r] = append([]int(nil), ranks[r]...)
	}
	return c
}

// Check returns a FieldError unless every rank of m fills its slots and every expert has at least one slot.
func (m Map) Check(s Shape) error {
	return m.checkPlaced(s, s.Experts)
}

// checkPlaced returns a FieldError unless every rank of m fills its slots and every expert numbered below placed has at least
// one slot in each layer.
func (m Map) checkPlaced(s Shape, placed int) error {
	if len(m) != s.Layers {
		return &FieldError{Field: "map", Reason: "wrong number of layers"}
	}
	for _, ranks := range m {
		if err := checkLayer(ranks, s, placed); err != nil {
			return err
		}
	}
	return nil
}

func checkLayer(ranks [][]int, s Shape, required int) error {
	if len(ranks) != s.Ranks {
		return &FieldError{Field: "map", Reason: "wrong number of ranks"}
	}
	placed := make([]bool, s.Experts)
	for _, slots := range ranks {
		if len(slots) != s.Slots {
			return &FieldError{Field: "map", Reason: "wrong number of slots"}
		}
		for _, e := range slots {
			if e < 0 || e >= s.Experts {
				return &FieldError{Field: "map", Reason: "no such expert"}
			}
			placed[e] = true
		}
	}
	for _, ok := range placed[:required] {
		if !ok {
			return &FieldError{Field: "map", Reason: "an expert without a slot"}
		}
	}
	return nil
}

// Move copies one expert's weights into a slot.
type Move struct {
	Layer  int `json:"layer"`
	Rank   int `json:"rank"`
	Slot   int `json:"slot"`
	Expert int `json:"expert"`
}

// Moves returns the moves that turn one map into the next; an expert that the rank already has needs no move.
func Moves(from, to Map) []Move {
	var moves []Move
	for l := range to {
		for r := range to[l] {
			moves = append(moves, rankMoves(from[l][r], to[l][r], l, r)...)
		}
	}
	return moves
}

func rankMoves(from, to []int, layer, rank int) []Move {
	var moves []Move
	for i, e := range to {
		if !contains(from, e) && !contains(to[:i], e) {
			moves = append(moves, Move{Layer: layer, Rank: rank, Slot: i, Expert: e})
		}
	}
	return moves
}

func contains(slots []int, expert int) bool {
	for _, e := range slots {
		if e == expert {
			return true
		}
	}
	return false
}
