package ticket

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"carawaypick/pkg/clock"
)

// maxObservations bounds the contents kept for one number.
const maxObservations = 8

// maxObservationBytes bounds the size of the contents kept for one number, so that one message carries them.
const maxObservationBytes = 3 << 20

// observation is one content received under a number.
type observation struct {
	hash      uint64
	content   []byte
	firstSeen clock.Time // earliest known time at which any process saw it
}

func newObservation(content []byte, first clock.Time) observation {
	return observation{hash: xxhash.Sum64(content), content: content, firstSeen: first}
}

// candidateSet holds all contents received under one number.
type candidateSet struct {
	firstSeen    clock.Time // earliest firstSeen of the contents
	appliedHash  uint64     // hash of the applied content, if any
	observations []observation
}

// winner returns the content with the lowest hash among those first seen within sealDelay of the earliest, which
// depends only on the contents and their times and not on their order of arrival.
func (c *candidateSet) winner(sealDelay clock.Span) *observation {
	var w *observation
	for i := range c.observations {
		o := &c.observations[i]
		if o.firstSeen > c.firstSeen.Add(sealDelay) {
			continue
		}
		if w == nil || o.hash < w.hash {
			w = o
		}
	}
	return w
}

// observe records when some process first saw a content, and reports whether the content is new here; mutex is held.
func (b *Store) observe(n Number, content []byte, first clock.Time) (changed bool, err error) {
	if n <= b.base.Number {
		return false, nil
	}
	if n > b.State().Number+maxAhead {
		return false, invalid("number", "is more than "+strconv.Itoa(maxAhead)+" ahead")
	}
	o := newObservation(content, first)
	c := b.candidates[n]
	if c.merge(o) {
		return false, nil
	}
	if err = b.evictAbove(n, len(content)); err != nil {
		return false, err
	}
	if c == nil {
		c = &candidateSet{firstSeen: first}
		b.candidates[n] = c
		b.top = max(b.top, n)
	}
	c.firstSeen = min(c.firstSeen, first)
	c.observations = append(c.observations, o)
	b.contentBytes += len(content)
	b.trim(c)
	return true, nil
}

// merge updates the times of a known content, and reports whether the content is known.
func (c *candidateSet) merge(o observation) bool {
	if c == nil {
		return false
	}
	for i := range c.observations {
		if c.observations[i].hash != o.hash {
			continue
		}
		c.firstSeen = min(c.firstSeen, o.firstSeen)
		c.observations[i].firstSeen = min(c.observations[i].firstSeen, o.firstSeen)
		return true
	}
	return false
}

// evictAbove drops held-back tickets above n while the contents would exceed maxKeptBytes, and returns an InvalidError if
// they would still exceed twice that.
func (b *Store) evictAbove(n Number, size int) error {
	for b.contentBytes+size > maxKeptBytes {
		highest := b.highest()
		if highest <= n || highest <= b.State().Number+1 {
			break
		}
		b.drop(highest)
	}
	if b.contentBytes+size > 2*maxKeptBytes {
		return invalid("content", "exceeds what is kept of tickets held back")
	}
	return nil
}

func (b *Store) highest() Number {
	for b.top > b.base.Number && b.candidates[b.top] == nil {
		b.top--
	}
	return b.top
}

// trim drops one content of a number whose contents are too many or too long: the one with the highest hash except the
// earliest and the applied one, or the one received last if there is no other.
func (b *Store) trim(c *candidateSet) {
	if len(c.observations) <= maxObservations && c.size() <= maxObservationBytes {
		return
	}
	worst := -1
	for i, o := range c.observations {
		if o.firstSeen == c.firstSeen || o.hash == c.appliedHash {
			continue
		}
		if worst < 0 || o.hash > c.observations[worst].hash {
			worst = i
		}
	}
	if worst < 0 {
		worst = len(c.observations) - 1
	}
	b.contentBytes -= len(c.observations[worst].content)
	c.observations = append(c.observations[:worst], c.observations[worst+1:]...)
}

func (b *Store) drop(n Number) {
	b.contentBytes -= b.candidates[n].size()
	delete(b.candidates, n)
}

// size returns the size of all contents in bytes.
func (c *candidateSet) size() (bytes int) {
	for _, o := range c.observations {
		bytes += len(o.content)
	}
	return bytes
}

// advance refolds the state if a winner changed, then applies tickets whose settle delay has passed, then compacts sealed
// ones; mutex is held.
func (b *Store) advance(now clock.Time) (changed bool) {
	s := b.State()
	if b.winnerChanged(s.Number) {
		s = b.refold(s.Number)
		changed = true
	}
	for {
		c := b.candidates[s.Number+1]
		if c == nil || now < c.firstSeen.Add(b.settleDelay) {
			break
		}
		s = b.apply(s, s.Number+1, c)
		changed = true
	}
	if changed {
		b.state.Store(s)
	}
	b.compact(now, s.Number)
	return changed
}

// winnerChanged reports whether any applied number has another winner now.
func (b *Store) winnerChanged(last Number) bool {
	for n := b.base.Number + 1; n <= last; n++ {
		c := b.candidates[n]
		if len(c.observations) > 1 && c.winner(b.sealDelay).hash != c.appliedHash {
			return true
		}
	}
	return false
}

// refold folds all winners up to a number again from the base.
func (b *Store) refold(last Number) *State {
	s := b.base
	for n := b.base.Number + 1; n <= last; n++ {
		s = b.apply(s, n, b.candidates[n])
	}
	return s
}

func (b *Store) apply(s *State, n Number, c *candidateSet) *State {
	w := c.winner(b.sealDelay)
	c.appliedHash = w.hash
	return applyContent(s, n, w.content)
}

func applyContent(s *State, n Number, content []byte) *State {
	t, err := Decode(content)
	if err != nil {
		return s.withSkipped(n, err)
	}
	return s.Apply(t)
}

// compact folds the oldest applied tickets into the base while they are sealed and more than maxSealedTickets are kept,
// or while all contents exceed maxKeptBytes.
func (b *Store) compact(now clock.Time, active Number) {
	for b.base.Number < active {
		n := b.base.Number + 1
		c := b.candidates[n]
		sealed := now > c.firstSeen.Add(b.sealDelay)
		surplus := active-b.base.Number > maxSealedTickets
		old := sealed && surplus
		if !old && b.contentBytes <= maxKeptBytes {
			return
		}
		b.base = b.apply(b.base, n, c)
		b.drop(n)
	}
}
