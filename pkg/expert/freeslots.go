package expert

// PadFreeSlots fills the free slots of each rank with placeholder experts, numbered from experts on; it returns the map and the
// number of experts including the placeholders.
func PadFreeSlots(m Map, experts, slots int) (padded Map, allExperts int) {
	allExperts = experts
	padded = make(Map, len(m))
	for l, ranks := range m {
		padded[l] = make([][]int, len(ranks))
		for r, placed := range ranks {
			padded[l][r] = append([]int(nil), placed...)
			for placeholder := experts; len(padded[l][r]) < slots; placeholder++ {
				padded[l][r] = append(padded[l][r], placeholder)
				allExperts = max(allExperts, placeholder+1)
			}
		}
	}
	return padded, allExperts
}

// StripFreeSlots removes the placeholder experts, numbered from experts on, from the map.
func StripFreeSlots(m Map, experts int) Map {
	stripped := make(Map, len(m))
	for l, ranks := range m {
		stripped[l] = make([][]int, len(ranks))
		for r, placed := range ranks {
			stripped[l][r] = []int{}
			for _, e := range placed {
				if e < experts {
					stripped[l][r] = append(stripped[l][r], e)
				}
			}
		}
	}
	return stripped
}
