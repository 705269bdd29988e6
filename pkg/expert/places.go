package expert

// Pad fills the free slots of each rank's experts with numbers from experts on, so that every rank fills its slots;
// it returns the map and the number of experts with those that stand for free slots.
func Pad(m Map, experts, slots int) (padded Map, total int) {
	total = experts
	padded = make(Map, len(m))
	for l, ranks := range m {
		padded[l] = make([][]int, len(ranks))
		for r, held := range ranks {
			padded[l][r] = append([]int(nil), held...)
			for free := experts; len(padded[l][r]) < slots; free++ {
				padded[l][r] = append(padded[l][r], free)
				total = max(total, free+1)
			}
		}
	}
	return padded, total
}

// Strip takes the numbers from experts on out of the map again.
func Strip(m Map, experts int) Map {
	stripped := make(Map, len(m))
	for l, ranks := range m {
		stripped[l] = make([][]int, len(ranks))
		for r, held := range ranks {
			stripped[l][r] = []int{}
			for _, e := range held {
				if e < experts {
					stripped[l][r] = append(stripped[l][r], e)
				}
			}
		}
	}
	return stripped
}
