package ticket

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"carawaypick/pkg/clock"
)

// maxSights is the number of contents kept for one number.
const maxSights = 8

// maxSightBytes bounds the contents kept for one number, so that one message carries them.
const maxSightBytes = 3 << 20

// sight is one content seen for a number.
type sight struct {
	hash    uint64
	content []byte
	first   clock.Time // when any process first saw it, as far as known here
}

func sightOf(content []byte, first clock.Time) sight {
	return sight{hash: xxhash.Sum64(content), content: content, first: first}
}

// entry holds all contents seen for one number.
type entry struct {
	first  clock.Time // when any content was first seen
	force  uint64     // hash of the content in force, once one is
	sights []sight
}

// winner returns the lowest hash among the contents first seen within seal of the earliest,
// which depends only on what was seen and not on the order of arrival.
func (e *entry) winner(seal clock.Span) *sight {
	var w *sight
	for i := range e.sights {
		s := &e.sights[i]
		if s.first > e.first.Add(seal) {
			continue
		}
		if w == nil || s.hash < w.hash {
			w = s
		}
	}
	return w
}

// see records that some process saw a content at first, and tells whether the content is new here.
func (b *Book) see(n Number, content []byte, first clock.Time) (changed bool, err error) {
	if n <= b.base.Number {
		return false, nil
	}
	if n > b.State().Number+maxAhead {
		return false, invalid("number", "is more than "+strconv.Itoa(maxAhead)+" ahead")
	}
	s := sightOf(content, first)
	e := b.entries[n]
	if e.again(s) {
		return false, nil
	}
	if err = b.makeRoom(n, len(content)); err != nil {
		return false, err
	}
	if e == nil {
		e = &entry{first: first}
		b.entries[n] = e
		b.top = max(b.top, n)
	}
	e.first = min(e.first, first)
	e.sights = append(e.sights, s)
	b.bytes += len(content)
	b.trim(e)
	return true, nil
}

// again takes in another sight of a known content, and tells whether it is known.
func (e *entry) again(s sight) bool {
	if e == nil {
		return false
	}
	for i := range e.sights {
		if e.sights[i].hash != s.hash {
			continue
		}
		e.first = min(e.first, s.first)
		e.sights[i].first = min(e.sights[i].first, s.first)
		return true
	}
	return false
}

// makeRoom drops held-back tickets above n where the contents would exceed their bound.
func (b *Book) makeRoom(n Number, size int) error {
	for b.bytes+size > keepBytes {
		highest := b.highest()
		if highest <= n || highest <= b.State().Number+1 {
			break
		}
		b.drop(highest)
	}
	if b.bytes+size > 2*keepBytes {
		return invalid("content", "exceeds what is kept of tickets held back")
	}
	return nil
}

func (b *Book) highest() Number {
	for b.top > b.base.Number && b.entries[b.top] == nil {
		b.top--
	}
	return b.top
}

// trim bounds the contents of one number, keeping the earliest and the lowest hashes.
func (b *Book) trim(e *entry) {
	if len(e.sights) <= maxSights && e.size() <= maxSightBytes {
		return
	}
	worst := -1
	for i, s := range e.sights {
		if s.first == e.first || s.hash == e.force {
			continue
		}
		if worst < 0 || s.hash > e.sights[worst].hash {
			worst = i
		}
	}
	if worst < 0 {
		worst = len(e.sights) - 1
	}
	b.bytes -= len(e.sights[worst].content)
	e.sights = append(e.sights[:worst], e.sights[worst+1:]...)
}

func (b *Book) drop(n Number) {
	b.bytes -= b.entries[n].size()
	delete(b.entries, n)
}

// size returns the bytes of all contents.
func (e *entry) size() (bytes int) {
	for _, s := range e.sights {
		bytes += len(s.content)
	}
	return bytes
}

// advance judges again what is in force, then applies what has settled, then forgets what is sealed and not needed.
func (b *Book) advance(now clock.Time) (changed bool) {
	s := b.State()
	if b.overruled(s.Number) {
		s = b.refold(s.Number)
		changed = true
	}
	for {
		e := b.entries[s.Number+1]
		if e == nil || now < e.first.Add(b.settle) {
			break
		}
		s = b.apply(s, s.Number+1, e)
		changed = true
	}
	if changed {
		b.state.Store(s)
	}
	b.compact(now, s.Number)
	return changed
}

// overruled tells whether any number in force has another winner by what is known now.
func (b *Book) overruled(upto Number) bool {
	for n := b.base.Number + 1; n <= upto; n++ {
		e := b.entries[n]
		if len(e.sights) > 1 && e.winner(b.seal).hash != e.force {
			return true
		}
	}
	return false
}

// refold folds all entries up to a number again from the base.
func (b *Book) refold(upto Number) *State {
	s := b.base
	for n := b.base.Number + 1; n <= upto; n++ {
		s = b.apply(s, n, b.entries[n])
	}
	return s
}

func (b *Book) apply(s *State, n Number, e *entry) *State {
	w := e.winner(b.seal)
	e.force = w.hash
	return applyContent(s, n, w.content)
}

func applyContent(s *State, n Number, content []byte) *State {
	t, err := Decode(content)
	if err != nil {
		return s.skip(n, err)
	}
	return s.Apply(t)
}

// compact moves the oldest tickets in force into the base where there are more than peers need.
func (b *Book) compact(now clock.Time, force Number) {
	for b.base.Number < force {
		n := b.base.Number + 1
		e := b.entries[n]
		sealed := now > e.first.Add(b.seal)
		spare := force-b.base.Number > keepTickets
		old := sealed && spare
		if !old && b.bytes <= keepBytes {
			return
		}
		b.base = b.apply(b.base, n, e)
		b.drop(n)
	}
}
