package directory

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawaypick/pkg/clock"
)

const (
	// MaxAddresses is the maximum number of addresses in one answer.
	MaxAddresses = 64
	minAddresses = 8 // so that an answer outlives the failure of a few entries

	// With these, an entry's requests stay between 0.6 and 1.8 times its share, whatever the demand of the zones.
	maxZoneShare  = 0.4 // largest part of a caller's requests that its zone gets beyond its cores
	maxZoneExcess = 0.8 // largest part by which the requests of an entry exceed its share

	maxInclusion = 0.999 // largest inclusion probability, since the weight of a certain one is infinite
)

const (
	minColdRetryAfter = 300 * clock.Millisecond  // least Retry-After before a configuration is known
	maxColdRetryAfter = 2500 * clock.Millisecond // greatest Retry-After before a configuration is known
)

// Candidate is an entry that may be named.
type Candidate struct {
	Name    string
	Address string
	Zone    string
	Cores   float64 // 0 if unknown
	Full    bool    // it is short of descriptors or memory
}

// Asker is a caller that asks for addresses.
type Asker struct {
	Address string // without the port
	Zone    string // empty if unknown
}

// Choose returns the sorted addresses to tell the asker: at most limit, chosen by weighted rendezvous hashing, so that the
// answers of one asker hardly change. Over many askers, the inclusion of an entry is proportional to its cores, and greater
// in the asker's own zone.
func Choose(candidates []Candidate, asker Asker, limit int) (addresses []string) {
	candidates = usable(candidates)
	shares := sharesFor(candidates, asker.Zone)
	inclusion := inclusionOf(shares, addressCount(shares, limit))
	type scored struct {
		address string
		score   float64
	}
	all := make([]scored, len(candidates))
	for i, c := range candidates {
		// A candidate is above the score 1 with its inclusion probability, which the plain shares as weights don't give if a
		// large part of the candidates is named.
		weight := -math.Log1p(-inclusion[i])
		all[i] = scored{address: c.Address, score: -weight / math.Log(uniform(asker.Address, c.Name))}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.address, b.address)) })
	for _, s := range all[:addressCount(shares, limit)] {
		addresses = append(addresses, s.address)
	}
	slices.Sort(addresses)
	return addresses
}

// usable returns the candidates that are not full, or all if all are full.
func usable(candidates []Candidate) []Candidate {
	free := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Full })
	if len(free) == 0 {
		return candidates
	}
	return free
}

// sharesFor returns which part of a caller's requests each candidate should get; they add up to 1.
func sharesFor(candidates []Candidate, zone string) (shares []float64) {
	weights := coreWeights(candidates)
	sum, byZone := 0.0, make(map[string]float64)
	for i, c := range candidates {
		sum += weights[i]
		byZone[c.Zone] += weights[i]
	}
	own := 0.0
	if zone != "" && byZone[zone] > 0 {
		own = zoneShare(byZone[zone] / sum)
	}
	shares = make([]float64, len(candidates))
	for i, c := range candidates {
		shares[i] = (1 - own) * weights[i] / sum
		if c.Zone == zone {
			shares[i] += own * weights[i] / byZone[zone]
		}
	}
	return shares
}

// zoneShare returns which part of a caller's requests its own zone gets beyond its cores, which are a part of all. As the
// demand of the zones is unknown, it is so small that the zone can serve the callers of all zones if all are its own.
func zoneShare(cores float64) float64 {
	if cores >= 1 {
		return 0
	}
	return min(maxZoneShare, maxZoneExcess*cores/(1-cores))
}

// coreWeights returns the cores of the candidates; unknown or invalid ones count as the mean of the others.
func coreWeights(candidates []Candidate) (weights []float64) {
	known := func(c Candidate) bool { return c.Cores > 0 && !math.IsInf(c.Cores, 0) }
	sum, count := 0.0, 0
	for _, c := range candidates {
		if known(c) {
			sum += c.Cores
			count++
		}
	}
	mean := 1.0
	if count > 0 {
		mean = sum / float64(count)
	}
	for _, c := range candidates {
		if known(c) {
			weights = append(weights, c.Cores)
		} else {
			weights = append(weights, mean)
		}
	}
	return weights
}

// addressCount returns how many addresses keep the inclusion proportional to the shares: no probability exceeds 1.
func addressCount(shares []float64, limit int) int {
	if len(shares) == 0 {
		return 0
	}
	const rounding = 1e-9
	proportional := int(1/slices.Max(shares) + rounding)
	return min(max(proportional, minAddresses), limit, len(shares))
}

// inclusionOf returns the probability that each candidate is named, proportional to the shares as far as none exceeds 1.
func inclusionOf(shares []float64, count int) (inclusion []float64) {
	inclusion = make([]float64, len(shares))
	certain := make([]bool, len(shares))
	for again := true; again; {
		again = false
		left, rest := float64(count), 0.0
		for i, share := range shares {
			if certain[i] {
				left--
			} else {
				rest += share
			}
		}
		for i, share := range shares {
			if !certain[i] {
				inclusion[i] = share / rest * left
				certain[i] = inclusion[i] >= maxInclusion
				again = again || certain[i]
			}
			if certain[i] {
				inclusion[i] = maxInclusion
			}
		}
	}
	return inclusion
}

// uniform returns a number in (0, 1) that depends only on the asker and the entry.
func uniform(asker, entry string) float64 {
	const bits = 53 // of a float's mantissa
	digest := xxhash.New()
	_, _ = digest.WriteString(asker) // never fails
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(entry)
	return (float64(digest.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
}

// ColdRetryAfter returns the Retry-After in ms of a caller that asks before a configuration is known, which spreads the
// callers; draw is uniform in [0, 1), and left is the caller's time in ms, 0 if unknown. It is at most a third of that.
func ColdRetryAfter(left clock.Span, draw float64) clock.Span {
	least, most := minColdRetryAfter, maxColdRetryAfter
	if left > 0 {
		most = min(most, left/3)
		least = min(least, most/2)
	}
	return least + clock.Span(draw*float64(most-least))
}
