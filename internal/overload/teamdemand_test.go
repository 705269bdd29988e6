package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/internal/datagram"
	"carawaypick/pkg/clock"
)

// teamsAtEntries are the requests of teams at many entries, whose reports arrive 0.1 to 0.6 s late, a tenth of them never.
type teamsAtEntries struct {
	entries  []*TeamDemand
	random   *rand.Rand
	now      clock.Time
	reports  []lateReport
	asked    map[string]float64
	admitted map[string]float64
}

type lateReport struct {
	arrives  clock.Time
	from, to int
	report   TeamReport
}

func newTeamsAtEntries(entries int) *teamsAtEntries {
	s := &teamsAtEntries{random: rand.New(rand.NewPCG(7, 7))}
	for range entries {
		s.entries = append(s.entries, &TeamDemand{})
	}
	return s
}

// run lets teams ask at their rates per second, at random entries, for a time in which room requests per second are served.
func (s *teamsAtEntries) run(d clock.Span, rates map[string]float64, room float64) {
	const step = 20
	s.asked, s.admitted = map[string]float64{}, map[string]float64{}
	sum := 0.0
	for _, r := range rates {
		sum += r
	}
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(step) {
		s.exchange()
		for team, r := range rates {
			for expected := r * step / 1000; expected > 0; expected-- {
				if s.random.Float64() >= expected {
					continue
				}
				e := s.entries[s.random.IntN(len(s.entries))]
				e.Record(s.now, 2, team)
				s.asked[team]++
				if s.random.Float64() >= e.RejectProbability(s.now, 2, team, 1-min(room/sum, 1)) {
					s.admitted[team]++
				}
			}
		}
	}
}

func (s *teamsAtEntries) exchange() {
	for from, e := range s.entries {
		if s.now%300 != 0 {
			break
		}
		r := e.Report(s.now, 200)
		for to := range s.entries {
			if to != from && s.random.Float64() >= 0.1 {
				s.reports = append(s.reports, lateReport{s.now.Add(clock.Span(100 + s.random.IntN(500))), from, to, r})
			}
		}
	}
	left := s.reports[:0]
	for _, r := range s.reports {
		if r.arrives > s.now {
			left = append(left, r)
			continue
		}
		s.entries[r.to].Merge(r.arrives, fmt.Sprint(r.from), r.report)
	}
	s.reports = left
}

// Guards against a team that takes the capacity of others by asking for much at all entries, and against unused shares.
func TestTeamFloodsFromAllEntries(t *testing.T) {
	s := newTeamsAtEntries(72)
	rates := map[string]float64{"flood": 300}
	for i := range 23 {
		rates[fmt.Sprint("team", i)] = 4
	}
	const room = 150
	s.run(3*clock.Second, rates, room)
	s.run(10*clock.Second, rates, room)
	for team := range rates {
		if team != "flood" {
			assert.GreaterOrEqual(t, s.admitted[team], 0.9*s.asked[team], "%s of %v", team, s.asked[team])
		}
	}
	left := (room - 23*4.0) * 10
	assert.InDelta(t, left, s.admitted["flood"], 0.2*left, "the flood takes what others leave")
	for i := range 12 {
		delete(rates, fmt.Sprint("team", i))
	}
	s.run(2*clock.Second, rates, room)
	s.run(4*clock.Second, rates, room)
	left = (room - 11*4.0) * 4
	assert.InDelta(t, left, s.admitted["flood"], 0.2*left, "unused shares go to the flood")
}

// Guards against memory and reports that grow with the number of teams, and against large teams lost among small ones.
func TestThousandTeams(t *testing.T) {
	var d TeamDemand
	now := clock.Time(0)
	total := 0.0
	for i := range 6000 {
		now = clock.Time(i)
		d.Record(now, i%Levels, fmt.Sprint("team", i%1200))
		if i >= 3000 && i%10 == 0 {
			d.Record(now, 0, "large")
		}
	}
	assert.LessOrEqual(t, len(d.own), maxTrackedTeams)
	r := d.Report(now, 1000)
	assert.Len(t, r.Teams, maxReportedTeams*reportedTeamSize)
	content, err := datagram.Encode(r)
	assert.NoError(t, err)
	assert.LessOrEqual(t, len(content), 120)
	var decoded TeamReport
	assert.NoError(t, datagram.Decode(content, &decoded))
	assert.Equal(t, r, decoded)
	largest := 0.0
	for i := 0; i < len(r.Teams); i += reportedTeamSize {
		total += decodedRate(r.Teams[i+5])
		largest = max(largest, decodedRate(r.Teams[i+5]))
	}
	for _, code := range r.Rest {
		total += decodedRate(code)
	}
	assert.InDelta(t, 100, largest, 10, "the large team is reported")
	assert.InDelta(t, 1100, total, 60, "all demand is reported")
	for size := range 120 {
		r := d.Report(now, size)
		content, err := datagram.Encode(r)
		assert.NoError(t, err)
		assert.LessOrEqual(t, r.Size(), size)
		assert.Len(t, content, 3+r.Size())
	}
	for i := range 3000 {
		d.Merge(now, fmt.Sprint(i), r)
	}
	assert.LessOrEqual(t, len(d.peers), maxReporters)
}

// recordTeam records requests of the team for the rate to be at its final value.
func recordTeam(d *TeamDemand, team string, perSecond int) (now clock.Time) {
	for i := range 10 * perSecond {
		now = clock.Time(i * 1000 / perSecond)
		d.Record(now, 1, team)
	}
	return now
}

func TestTeamDemand(t *testing.T) {
	reported := func(team string, rate float64, rest float64) TeamReport {
		h := hashOf(team)
		return TeamReport{Teams: []byte{byte(h >> 24), byte(h >> 16), byte(h >> 8), byte(h), 1, rateCode(rate)}, Rest: []byte{0, rateCode(rest)}}
	}
	t.Run("unnamed teams share one part", func(t *testing.T) {
		var d TeamDemand
		for _, peer := range []string{"a", "b"} {
			assert.True(t, d.Merge(0, peer, reported("large", 50, 250)))
		}
		assert.InDelta(t, 0.5, d.RejectProbability(0, 1, "large", 1-100.0/600), 0.02)
		assert.InDelta(t, 0.9, d.RejectProbability(0, 1, "some", 1-100.0/600), 0.02)
		assert.InDelta(t, 0.9, d.RejectProbability(0, 1, "other", 1-100.0/600), 0.02)
	})
	t.Run("weights", func(t *testing.T) {
		var d TeamDemand
		d.Merge(0, "a", reported("heavy", 100, 0))
		d.Merge(0, "b", reported("light", 100, 0))
		for _, w := range []float64{-1, math.NaN(), 1e9} {
			assert.Equal(t, []string{"heavy"}, d.SetWeights(map[string]float64{"heavy": w, "light": 1}))
			assert.Empty(t, d.SetWeights(map[string]float64{"heavy": w}), "one log line")
			assert.InDelta(t, 0.5, d.RejectProbability(0, 1, "heavy", 0.5), 0.02)
			assert.Empty(t, d.SetWeights(nil))
		}
		d.SetWeights(map[string]float64{"heavy": 3})
		assert.InDelta(t, 0.25, d.RejectProbability(0, 1, "heavy", 0.5), 0.02)
		assert.InDelta(t, 0.75, d.RejectProbability(0, 1, "light", 0.5), 0.02)
	})
	t.Run("reports count for 2 s", func(t *testing.T) {
		var d TeamDemand
		now := recordTeam(&d, "own", 50)
		d.Merge(now, "a", reported("own", 50, 0))
		d.Merge(now, "b", reported("large", 400, 0))
		assert.InDelta(t, 0, d.RejectProbability(now, 1, "own", 0.5), 0.02)
		now = now.Add(reportExpiry + 1)
		assert.InDelta(t, 0.5, d.RejectProbability(now, 1, "own", 0.5), 0.02)
		assert.Empty(t, d.peers)
	})
	t.Run("malformed and earlier reports change nothing", func(t *testing.T) {
		var d TeamDemand
		good := reported("large", 50, 0)
		d.Merge(100, "a", good)
		for _, r := range []TeamReport{
			{Teams: good.Teams[:5]},
			{Rest: make([]byte, Levels+1)},
			{Teams: []byte{0, 0, 0, 0, Levels, 1}},
			{Teams: make([]byte, 17*reportedTeamSize)},
		} {
			assert.False(t, d.Merge(200, "a", r))
		}
		assert.False(t, d.Merge(50, "a", TeamReport{}))
		assert.Equal(t, peerTeams{100, good}, d.peers["a"])
	})
	t.Run("probabilities out of range", func(t *testing.T) {
		var d TeamDemand
		d.Merge(0, "a", reported("a", 50, 0))
		for overall, want := range map[float64]float64{-1: 0, 0: 0, 1: 1, 2: 1, math.Inf(1): 1} {
			assert.Equal(t, want, d.RejectProbability(0, 1, "a", overall))
		}
		assert.Equal(t, 0.0, d.RejectProbability(0, 1, "a", math.NaN()))
	})
	t.Run("a team without peers is rejected like its level", func(t *testing.T) {
		var d TeamDemand
		now := recordTeam(&d, "own", 50)
		assert.InDelta(t, 0.3, d.RejectProbability(now, 1, "own", 0.3), 1e-9)
	})
	t.Run("codes of rates", func(t *testing.T) {
		for _, rate := range []float64{0, 0.01, 0.3, 4, 77, 5000} {
			assert.InDelta(t, rate, decodedRate(rateCode(rate)), 0.03*rate)
		}
		assert.Equal(t, byte(math.MaxUint8), rateCode(math.Inf(1)))
	})
}
