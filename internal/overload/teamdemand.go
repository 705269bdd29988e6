package overload

import (
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawaypick/pkg/clock"
)

const (
	maxReportedTeams = 16                      // in one report, counted once for each level
	maxTrackedTeams  = 512                     // of this entry, counted once for each level
	maxReporters     = 1024                    // peers with a report
	reportedTeamSize = 6                       // bytes: hash, level, rate
	emptyReportSize  = Levels + 2              // bytes of the rest, and of the lengths of teams and rest
	rateSteps        = 12                      // steps of the rates in a report for a factor of 2; each is within 3 % of its value
	minReportedRate  = 0.01                    // per second; lower rates count as 0
	teamRateTime     = clock.Second            // time constant of the rates
	refreshInterval  = 100 * clock.Millisecond // between two computations of the shares of a level
)

// TeamReport is the demand of the teams of one service at one entry. The order of its fields is part of the protocol.
type TeamReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag

	Teams []byte // for each of the largest teams at a level 4 bytes of hash, big endian, the level, and the code of the rate
	Rest  []byte // codes of the rates of all other teams, by level; missing ones are 0
}

// teamLevel is the demand of one team at one level.
type teamLevel struct {
	team  uint32 // hash of the team's name; teams with the same hash count as one
	level uint8
}

// teamRate is a rate per second that decays exponentially. It starts at 0 without a correction, which would count the first
// request of each new team as several.
type teamRate struct {
	value float64
	at    clock.Time
}

func (r *teamRate) add(now clock.Time, value float64) {
	r.value = r.perSecond(now) + value
	r.at = max(r.at, now)
}

func (r *teamRate) perSecond(now clock.Time) float64 {
	return r.value * math.Exp(-float64(max(now.Sub(r.at), 0))/float64(teamRateTime))
}

// TeamDemand tracks the demand for one service by team and level, at this entry and, by their reports, at its peers.
type TeamDemand struct {
	own     map[teamLevel]*teamRate
	rest    [Levels]teamRate // of the own teams that are not tracked
	peers   map[string]peerTeams
	weights map[uint32]float64
	invalid map[string]bool // teams whose weight was found invalid
	shares  [Levels]levelShares
}

// Clone returns a copy that can be changed without an effect on d.
func (d *TeamDemand) Clone() TeamDemand {
	c := *d
	c.own, c.peers = maps.Clone(d.own), maps.Clone(d.peers)
	for key, r := range c.own {
		rate := *r
		c.own[key] = &rate
	}
	c.weights, c.invalid = maps.Clone(d.weights), maps.Clone(d.invalid)
	return c
}

// peerTeams is the report of a peer.
type peerTeams struct {
	at     clock.Time
	report TeamReport
}

// levelShares are the shares of the teams at one level. The team of all unnamed teams has the key unnamed.
type levelShares struct {
	shares *shares[uint64]
	at     clock.Time
}

const unnamed = 1 << 32 // above all hashes

// hashOf returns the hash of a team's name.
func hashOf(team string) uint32 {
	return uint32(xxhash.Sum64String(team))
}

// SetWeights replaces the weights of the teams and returns the names of those whose weight is invalid and was not so before,
// sorted. An invalid weight counts as 1.
func (d *TeamDemand) SetWeights(weights map[string]float64) (invalid []string) {
	d.weights = make(map[uint32]float64, len(weights))
	found := make(map[string]bool)
	for team, w := range weights {
		if ValidWeight(w) {
			d.weights[hashOf(team)] = w
			continue
		}
		found[team] = true
		if !d.invalid[team] {
			invalid = append(invalid, team)
		}
	}
	d.invalid, d.shares = found, [Levels]levelShares{}
	slices.Sort(invalid)
	return invalid
}

// Record counts a request of the team that arrives at the level.
func (d *TeamDemand) Record(now clock.Time, level int, team string) {
	key := teamLevel{hashOf(team), uint8(level)}
	r := d.own[key]
	if r == nil {
		if d.own == nil {
			d.own = make(map[teamLevel]*teamRate)
		}
		if len(d.own) >= maxTrackedTeams {
			d.evict(now)
		}
		r = &teamRate{}
		d.own[key] = r
	}
	r.add(now, float64(clock.Second)/float64(teamRateTime))
}

// evict stops tracking the teams without demand, or else the smallest one, which adds to the rest.
func (d *TeamDemand) evict(now clock.Time) {
	var smallest teamLevel
	least := math.Inf(1)
	maps.DeleteFunc(d.own, func(key teamLevel, r *teamRate) bool {
		value := r.perSecond(now)
		if value < least {
			smallest, least = key, value
		}
		return value < minReportedRate
	})
	if r := d.own[smallest]; r != nil && len(d.own) >= maxTrackedTeams {
		d.rest[smallest.level].add(now, least)
		delete(d.own, smallest)
	}
}

// demandAt is the demand of teams in requests per second.
type demandAt struct {
	named map[teamLevel]float64
	rest  [Levels]float64
}

// ownDemand returns the demand at this entry; the given number of largest teams are named.
func (d *TeamDemand) ownDemand(now clock.Time, most int) demandAt {
	type ranked struct {
		teamLevel
		rate float64
	}
	rates := make([]ranked, 0, len(d.own))
	for key, r := range d.own {
		if value := r.perSecond(now); value >= minReportedRate {
			rates = append(rates, ranked{key, value})
		}
	}
	slices.SortFunc(rates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.team, b.team))
	})
	most = min(max(most, 0), maxReportedTeams, len(rates))
	demand := demandAt{named: make(map[teamLevel]float64, most)}
	for _, r := range rates[:most] {
		demand.named[r.teamLevel] = r.rate
	}
	for l := range Levels {
		demand.rest[l] = d.rest[l].perSecond(now)
	}
	for _, r := range rates[most:] {
		demand.rest[r.level] += r.rate
	}
	return demand
}

// Report returns this entry's report, which takes at most the given number of bytes more than an empty one. Teams that don't
// fit add to the rest; without room for the rest, the report is empty.
func (d *TeamDemand) Report(now clock.Time, size int) (r TeamReport) {
	if size < emptyReportSize {
		return r
	}
	demand := d.ownDemand(now, (size-emptyReportSize)/reportedTeamSize)
	for key, value := range demand.named {
		r.Teams = binary.BigEndian.AppendUint32(r.Teams, key.team)
		r.Teams = append(r.Teams, key.level, rateCode(value))
	}
	codes := make([]byte, Levels)
	for l, value := range demand.rest {
		if codes[l] = rateCode(value); codes[l] > 0 {
			r.Rest = codes[:l+1]
		}
	}
	return r
}

// rateCode returns the logarithmic code of a rate per second.
func rateCode(rate float64) byte {
	if rate < minReportedRate {
		return 0
	}
	return byte(min(1+math.Round(rateSteps*math.Log2(rate/minReportedRate)), math.MaxUint8))
}

// decodedRate returns the rate of a code.
func decodedRate(code byte) float64 {
	if code == 0 {
		return 0
	}
	return minReportedRate * math.Exp2(float64(code-1)/rateSteps)
}

// Size returns by how many bytes r is larger than an empty report.
func (r TeamReport) Size() int {
	size := 0
	if len(r.Teams) > 0 {
		size += 1 + len(r.Teams)
	}
	if len(r.Rest) > 0 {
		size += 1 + len(r.Rest)
	}
	return size
}

// valid reports whether r has the form of a report.
func (r TeamReport) valid() bool {
	if len(r.Teams)%reportedTeamSize != 0 || len(r.Teams) > maxReportedTeams*reportedTeamSize || len(r.Rest) > Levels {
		return false
	}
	for i := 0; i < len(r.Teams); i += reportedTeamSize {
		if r.Teams[i+4] >= Levels {
			return false
		}
	}
	return true
}

// Merge replaces the report of a peer by one that arrived at the given time, and reports whether it did: an invalid report, or
// one older than the last, changes nothing.
func (d *TeamDemand) Merge(at clock.Time, peer string, r TeamReport) (merged bool) {
	last, known := d.peers[peer]
	if !r.valid() || (known && at < last.at) {
		return false
	}
	if d.peers == nil {
		d.peers = make(map[string]peerTeams)
	}
	if !known && len(d.peers) >= maxReporters {
		d.expire(at)
		if len(d.peers) >= maxReporters {
			return false
		}
	}
	d.peers[peer] = peerTeams{at: at, report: r}
	return true
}

// expire drops reports that are too old to count.
func (d *TeamDemand) expire(now clock.Time) {
	maps.DeleteFunc(d.peers, func(_ string, p peerTeams) bool { return now.Sub(p.at) > reportExpiry })
}

// sharesAt returns the shares of the teams at the level, over all entries.
func (d *TeamDemand) sharesAt(now clock.Time, level int) *shares[uint64] {
	cached := &d.shares[level]
	if cached.shares != nil && now >= cached.at && now.Sub(cached.at) < refreshInterval {
		return cached.shares
	}
	d.expire(now)
	demand := make(map[uint64]float64)
	own := d.ownDemand(now, maxReportedTeams)
	for key, value := range own.named {
		if int(key.level) == level {
			demand[uint64(key.team)] += value
		}
	}
	rest := own.rest[level]
	for _, p := range d.peers {
		for teams := p.report.Teams; len(teams) > 0; teams = teams[reportedTeamSize:] {
			if int(teams[4]) == level {
				demand[uint64(binary.BigEndian.Uint32(teams))] += decodedRate(teams[5])
			}
		}
		if level < len(p.report.Rest) {
			rest += decodedRate(p.report.Rest[level])
		}
	}
	demand[unnamed] = rest
	*cached = levelShares{at: now, shares: newShares(demand, d.weightOf)}
	return cached.shares
}

// weightOf returns the weight of a team; that of all unnamed teams together is 1.
func (d *TeamDemand) weightOf(key uint64) float64 {
	if key == unnamed {
		return defaultWeight
	}
	return weightOr1(d.weights, uint32(key))
}

// RejectProbability returns the rejection probability of a request of the team at the level, where all entries together reject
// the fraction overall of the level's requests. What they admit is divided among the teams by max-min fairness. Teams that no
// report names count as one, so that they get no more by being many.
func (d *TeamDemand) RejectProbability(now clock.Time, level int, team string, overall float64) float64 {
	if !(overall > 0) { // NaN too
		return 0
	}
	if overall >= 1 {
		return 1
	}
	s := d.sharesAt(now, level)
	key := uint64(hashOf(team))
	if _, named := s.teams[key]; !named {
		key = unnamed
	}
	return 1 - s.fraction(key, s.fill((1-overall)*s.demand))
}
