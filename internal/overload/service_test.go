package overload

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaypick/internal/datagram"
	"carawaypick/internal/testkit"
	"carawaypick/pkg/clock"
)

// capacity returns a service that starts 100 requests per second by Little's law.
func capacity() *Service {
	s := &Service{Limit: 200, Entries: 2}
	s.RecordEnd(0, 2*clock.Second)
	return s
}

func TestExpectedWait(t *testing.T) {
	s := capacity()
	s.SetReport(1, "b", Demand{Levels: []LevelDemand{{Level: 0, Waiting: 4, Arrivals: 5000}, {Level: 1, Waiting: 5, Arrivals: 6000}, {Level: 2, Waiting: 6}}})
	s.SetWaiting([Levels]int{1, 0, 3})
	assert.InDelta(t, 1000*6/100.0, s.ExpectedWait(1, 0), 1e-6, "six wait or arrive, an idle period does not look like no capacity")
	assert.InDelta(t, 1000*(5+6-50*0.05)/50.0, s.ExpectedWait(1, 1), 1e-6, "what arrives between two dispatches counts by its rate")
	assert.True(t, math.IsInf(s.ExpectedWait(1, 2), 1), "more urgent requests use all starts")
	s.SetReport(1, "b", Demand{Levels: []LevelDemand{{Level: 0, Waiting: -4, Arrivals: -1}, {Level: 99, Waiting: 4}, {Level: -1, Waiting: 4}}, Starts: -1, Flight: -1})
	assert.InDelta(t, 1000*2/100.0, s.ExpectedWait(1, 0), 1e-6, "figures out of range")
}

func TestRejectProbability(t *testing.T) {
	s := capacity()
	s.SetWaiting([Levels]int{9}) // wait of 100 ms
	assert.InDelta(t, 0, s.RejectProbability(1, 0, 300), 1e-6)
	assert.InDelta(t, 0.5, s.RejectProbability(1, 0, 200), 1e-6)
	assert.InDelta(t, 1-0.3, s.RejectProbability(1, 0, 150), 1e-6, "up to the starvation bound")
	s.SetReport(1, "b", Demand{Levels: []LevelDemand{{Level: 0, Arrivals: 10000}, {Level: 1, Arrivals: 10000}}, Starts: 10000})
	assert.InDelta(t, 1-0.3*0.5, s.RejectProbability(1, 1, 300), 1e-6, "no priority starves")
}

// TestDemand guards against reports that use up the heartbeat.
func TestDemand(t *testing.T) {
	s := capacity()
	for l := range Levels {
		for now := clock.Time(1); now < 1000; now += 20 {
			s.RecordArrival(now, l, 300)
			s.RecordStart(now)
		}
	}
	s.SetWaiting([Levels]int{20, 20, 20, 20, 20, 20, 20, 20, 20})
	d := s.Demand(1000)
	content, err := datagram.Encode(map[string]Demand{"verifica-llm": d})
	require.NoError(t, err)
	assert.Less(t, len(content), 100)
	var got map[string]Demand
	require.NoError(t, datagram.Decode(content, &got))
	assert.Equal(t, d, got["verifica-llm"])
	assert.InDelta(t, 50, bounded(d.Levels[0].Arrivals), 5)
}

// TestSharesFitFreeSlots checks that entries with the same view of all start no more than there are slots, and that a slot
// which a more urgent request waits for goes to no other.
func TestSharesFitFreeSlots(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 5).Draw(t, "entries")
		waiting := make([][Levels]int, count)
		var total [Levels]int
		for i := range waiting {
			for l := range Levels {
				waiting[i][l] = rapid.IntRange(0, 4).Draw(t, "waiting")
				total[l] += waiting[i][l]
			}
		}
		free := float64(rapid.IntRange(0, 60).Draw(t, "free"))
		left := free
		for l := range Levels {
			sum := 0.0
			for i := range waiting {
				s := Service{Entries: count}
				s.SetWaiting(waiting[i])
				for j := range waiting {
					if j != i {
						other := Service{}
						other.SetWaiting(waiting[j])
						s.SetReport(1, string(rune('a'+j)), other.Demand(1))
					}
				}
				sum += s.FreeShare(1, free, l)
			}
			assert.InDelta(t, min(left, float64(total[l])), sum, 1e-6)
			left = max(0, left-float64(total[l]))
		}
	})
}

// busy returns a service of which a peer reported, at time 1, 4 waiting requests and the given rates per second.
func busy(arrivals, starts, ends int) *Service {
	s := capacity()
	s.SetReport(1, "b", Demand{Levels: []LevelDemand{{Level: 0, Arrivals: 100 * arrivals}, {Level: 1, Waiting: 4}}, Starts: 100 * starts, Ends: 100 * ends})
	return s
}

// TestStartProbability guards against entries that all start requests in the same free slots.
func TestStartProbability(t *testing.T) {
	assert.InDelta(t, 4.0/5, busy(125, 0, 0).StartProbability(41, 4, 0), 0.05, "four slots for five arrivals")
	assert.InDelta(t, 1, busy(100, 0, 0).StartProbability(41, 100, 0), 1e-6)
	assert.Zero(t, busy(100, 0, 0).StartProbability(41, 0.5, 0))
	assert.Zero(t, busy(100, 0, 0).StartProbability(41, 100, 1), "another one waits")
	assert.Less(t, busy(100, 400, 100).StartProbability(41, 12, 0), 0.1, "the others have started twelve since")
}

// TestSlots guards against free slots that all entries fill at each dispatch until they hear each other.
func TestSlots(t *testing.T) {
	assert.InDelta(t, 20, capacity().Slots(1, 20, 50), 1e-6, "no peers")
	assert.InDelta(t, 50*(0.1+20.0/300), busy(0, 100, 100).Slots(201, 20, 50), 1.5)
	assert.InDelta(t, 0, busy(0, 400, 100).Slots(201, 20, 50), 0.5, "the others have filled them")
}

// TestMissingReports guards against entries that count as idle because their reports were lost.
func TestMissingReports(t *testing.T) {
	s := busy(10, 10, 10)
	s.Entries = 5
	status := s.Status(1)
	assert.InDelta(t, 16, status.Waiting[1], 1e-6)
	assert.Equal(t, 1, status.Peers)
}

// TestFirstRequestsEndEarly guards against a capacity that is taken from the short requests, which end first.
func TestFirstRequestsEndEarly(t *testing.T) {
	s := Service{Limit: 200, PriorFlight: 2 * clock.Second}
	s.RecordStart(1000)
	assert.Equal(t, 2*clock.Second, s.MeanFlight(1001))
	s.RecordEnd(1500, 500)
	assert.Greater(t, s.MeanFlight(1501), 1800*clock.Millisecond)
	assert.Equal(t, 500*clock.Millisecond, s.MeanFlight(7001))
}

// TestPauseForgetsMeanFlight guards against the deadline of the first request after a pause being judged by reports from before it.
func TestPauseForgetsMeanFlight(t *testing.T) {
	var s Service
	s.RecordEnd(1000, 400)
	s.SetReport(1000, "a", Demand{Flight: 2000})
	assert.Equal(t, 1200*clock.Millisecond, s.MeanFlight(1100))
	assert.Equal(t, 400*clock.Millisecond, s.MeanFlight(3500))
}

// TestRejectionsAreEven guards against entries with few requests that reject unequal parts of a team's requests by chance.
func TestRejectionsAreEven(t *testing.T) {
	testkit.Property(t, func(t *rapid.T) {
		var q Queue[int]
		type team struct {
			probability, first float64
			asked, rejected    int
		}
		teams := make([]team, rapid.IntRange(1, 4).Draw(t, "teams"))
		for i := range teams {
			teams[i] = team{probability: rapid.Float64Range(0, 1).Draw(t, "probability"), first: rapid.Float64Range(0, 0.999).Draw(t, "first")}
		}
		for range 50 * len(teams) {
			i := rapid.IntRange(0, len(teams)-1).Draw(t, "team")
			w := &teams[i]
			w.asked++
			if q.rejects(0, strconv.Itoa(i), w.probability, w.first) {
				w.rejected++
			}
			assert.InDelta(t, w.probability*float64(w.asked), float64(w.rejected), 1.001, "team %d", i)
		}
	})
}

// TestAlternatingTeams guards against a quiet team that an entry always rejects because its requests alternate with those of a
// team with a higher rejection probability.
func TestAlternatingTeams(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	for entry := range 36 {
		var q Queue[int]
		quiet, flooding := 0, 0
		for range 100 {
			if q.rejects(1, "quiet", 0.1, random.Float64()) {
				quiet++
			}
			if q.rejects(1, "flooding", 0.9, random.Float64()) {
				flooding++
			}
		}
		assert.InDelta(t, 10, quiet, 1.001, "entry %d", entry)
		assert.InDelta(t, 90, flooding, 1.001, "entry %d", entry)
	}
}

// TestManyTeamsAreBounded guards against memory that grows with the number of teams, and against a rejected share that changes
// because teams are forgotten.
func TestManyTeamsAreBounded(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 6))
	var q Queue[int]
	rejected, asked := 0, 0
	for range 20 {
		for team := range 1200 {
			asked++
			if q.rejects(team%3, strconv.Itoa(team), 0.3, random.Float64()) {
				rejected++
			}
			require.LessOrEqual(t, len(q.rejections), maxTrackedTeams)
		}
	}
	assert.InDelta(t, 0.3, float64(rejected)/float64(asked), 0.02)
}

// TestCloneIsIndependent guards against an explanation that changes the state that requests are decided by, or that asks the
// teams of the original.
func TestCloneIsIndependent(t *testing.T) {
	type state struct {
		queue   Queue[int]
		teams   TeamDemand
		returns Returns
	}
	clone := func(s *state) *state {
		c := &state{queue: s.queue.Clone(), teams: s.teams.Clone(), returns: s.returns.Clone()}
		c.queue.TeamReject = nil // functions are never equal
		return c
	}
	random := rand.New(rand.NewPCG(8, 8))
	use := func(s *state, from, to clock.Time) {
		for now := from; now < to; now++ {
			team := strconv.Itoa(random.IntN(30))
			s.teams.Record(now, random.IntN(Levels), team)
			s.teams.Merge(now, team, s.teams.Report(now, 60))
			s.teams.RejectProbability(now, 1, team, 0.5)
			s.teams.SetWeights(map[string]float64{team: random.Float64() - 0.5})
			s.queue.SetReport(now, team, Demand{Starts: random.IntN(5000), Levels: []LevelDemand{{Level: 1, Waiting: random.IntN(9), Arrivals: 900}}})
			budget := clock.Span(random.IntN(600) - 100)
			s.queue.Arrive(now, &Waiter[int]{Priority: random.IntN(3), Team: team, LatestOnTime: now.Add(budget), LatestUseful: now.Add(900)}, 0, random.Float64)
			s.queue.RecordEnd(now, 100)
			s.queue.Dispatch(now, 1)
			s.queue.TakeExpired(now)
			s.returns.RetryAfter(now, 1, 3000, 20, 2, random.Float64())
		}
	}
	s := &state{}
	use(s, 1000, 3500)
	require.NotZero(t, s.queue.Len())
	before, used := clone(s), clone(s)
	assert.Equal(t, before, used)
	use(used, 3500, 6500)
	assert.NotEqual(t, before, used)
	assert.Equal(t, before, clone(s))
}

// TestPauseStartsNoBurst guards against requests that start at once because much time has passed.
func TestPauseStartsNoBurst(t *testing.T) {
	q := Queue[int]{Service: *busy(0, 100, 100)}
	for range 50 {
		q.waiters = append(q.waiters, &Waiter[int]{LatestOnTime: 9000, LatestUseful: 9000})
	}
	q.Dispatch(50, 0)
	assert.LessOrEqual(t, len(q.Dispatch(1050, 0)), 11, "100 per second, for 100 ms")
	assert.Len(t, q.Dispatch(4050, 7), 7, "the report is too old, so the entry decides alone")
}
