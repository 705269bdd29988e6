package promise

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"carawaypick/internal/standin"
	"carawaypick/pkg/clock"
)

// began counts the streams of all engines by request id.
func (b *bench) began() (streams map[string]int, total int) {
	streams = map[string]int{}
	for _, e := range b.Engines {
		for _, r := range e.Record().Requests {
			streams[r.ID]++
			total++
		}
	}
	return streams, total
}

func wholeOf(t *testing.T, calls []sent) (whole int) {
	t.Helper()
	for _, s := range calls {
		if assertTrue(t, s) {
			whole++
		}
	}
	return whole
}

// patientQuestions are questions whose callers wait this long.
func patientQuestions(tokens int, deadline clock.Span) func(worker, turn int) sent {
	return func(worker, turn int) sent {
		s := questions(tokens)(worker, turn)
		s.call.Deadline = deadline
		return s
	}
}

// TestPromiseShares floods the fleet from one team while another of the same share sends twice what they bear.
func TestPromiseShares(t *testing.T) {
	const bears = 4
	b := open(t, setup{entries: 3, engines: 2, plains: 1, bears: bears, cold: bears})
	b.everyEngine(func(f *standin.EngineFault) { f.Interval, f.Bears, f.Cold = 10, bears, bears })
	flood := b.load(model, 60, patientQuestions(10, 10*clock.Second))
	b.eventually("the flood borrows what nobody else uses", func() bool {
		for _, e := range b.Engines {
			if e.Record().Peak < bears {
				return false
			}
		}
		return true
	})
	before := flood.count()
	modest := b.loadAs("noche", model, 4*bears, patientQuestions(10, 10*clock.Second))
	b.more(modest, 60)
	during := flood.count() - before
	answers := modest.end()
	for _, s := range answers {
		assertWhole(t, s)
	}
	t.Logf("%d answers for the flooding team while the other got %d", during, len(answers))
	assert.GreaterOrEqual(t, 3*len(answers), during, "half of the share that is its own")
	wholeOf(t, flood.end())
	for name, e := range b.Engines {
		assert.Zero(t, e.Record().Overload, "%s fell over", name)
	}
}

// TestPromiseOverload sends several times what the engines bear, with deadlines that not all can meet.
func TestPromiseOverload(t *testing.T) {
	const bears = 4
	deadline := 400 * clock.Millisecond
	b := open(t, setup{entries: 3, engines: 2, plains: 1, bears: bears, cold: bears})
	b.everyEngine(func(f *standin.EngineFault) { f.Interval, f.Bears, f.Cold = 10, bears, bears })
	calm := b.load(model, bears, patientQuestions(10, 10*clock.Second))
	b.more(calm, 100)
	for _, s := range calm.end() {
		assertWhole(t, s)
	}
	_, before := b.began()
	load := b.load(model, 12*bears, patientQuestions(10, deadline))
	b.more(load, 600)
	calls := load.end()
	streams, total := b.began()
	total -= before
	whole, refused := 0, 0
	for _, s := range calls {
		if assertTrue(t, s) {
			whole++
			continue
		}
		refused++
		if s.answer.Outcome == standin.NotRun {
			assert.Zero(t, streams[s.call.ID], "%s ran but is said not to have: %s", s.call.ID, s.answer.Reason)
		}
	}
	t.Logf("%d whole, %d refused, %d streams", whole, refused, total)
	assert.Positive(t, refused, "there was no overload")
	assert.GreaterOrEqual(t, 10*whole, 9*total, "streams that nobody got whole")
	for name, e := range b.Engines {
		assert.Zero(t, e.Record().Overload, "%s fell over", name)
	}
}

// TestPromiseRetryBudget lets every stream fail and counts how often callers' calls were tried.
func TestPromiseRetryBudget(t *testing.T) {
	b := open(t, setup{entries: 2, engines: 4, plains: 1})
	b.everyEngine(func(f *standin.EngineFault) { f.Interval, f.Cut, f.Cuts = 1, 0, 1_000_000 })
	load := b.load(model, 8, questions(4))
	b.more(load, 400)
	calls := load.end()
	_, total := b.began()
	t.Logf("%d calls, %d streams", len(calls), total)
	assert.Zero(t, wholeOf(t, calls))
	assert.LessOrEqual(t, total, 2*len(calls), "retries multiply an outage")
}

// TestPromiseExpiredFirst queues work behind a full engine and holds that what has expired never reaches it.
func TestPromiseExpiredFirst(t *testing.T) {
	b := open(t, setup{entries: 1, engines: 1, plains: 1, bears: 1, cold: 1})
	b.everyEngine(func(f *standin.EngineFault) { f.Interval, f.Bears, f.Cold = 20, 1, 1 })
	c := b.caller(model, "zone-a")
	long := ask(question+", larga", 60)
	first := later(func() sent { return long.do(t.Context(), c) })
	b.running(long.call.ID)
	short := []<-chan sent{}
	for i := range 5 {
		s := ask(fmt.Sprint(question, ", breve ", i), 2)
		s.call.Deadline = 200 * clock.Millisecond
		short = append(short, later(func() sent { return s.do(t.Context(), c) }))
	}
	for _, result := range short {
		s := <-result
		assert.Equal(t, standin.NotRun, s.answer.Outcome, "%s", s.answer.Reason)
		assert.Zero(t, b.streams(s.call.ID), "%s ran", s.call.ID)
	}
	assertWhole(t, <-first)
	assertWhole(t, ask(question+", después", 2).do(t.Context(), c))
}
