package expert

import (
	"carawaypick/pkg/clock"
)

// Ops of an order to a rank.
const (
	OpPrepare = "prepare" // copy the experts of a map
	OpArm     = "arm"     // switch to a prepared map as a step begins
	OpDisarm  = "disarm"  // take an arm back
	OpHold    = "hold"    // don't begin a step until it is released
	OpGo      = "go"      // release a held step
)

// Command is an order to one rank of a group whose ranks don't compare their maps.
type Command struct {
	ID      uint64 // unique to the director
	Rank    int
	Op      string
	Version int64 // of the map
	Step    int64
	Epoch   int64 // life of the group
	Fence   int64
	Map     Map  // for OpPrepare
	Again   bool // it was sent before and not answered
}

// Reply is how a rank answered a command.
type Reply int

// Replies of a rank.
const (
	ReplyDone    Reply = iota // accepted, or the state already holds
	ReplyRefused              // does not fit the rank's state, which it leaves as it is
	ReplyFenced               // a higher fence has been seen
	ReplyLost                 // no answer: it may be carried out, now or later
)

// None stands for no version and no step.
const None int64 = -1

// Standing is what a rank says of itself at one moment.
type Standing struct {
	Asked     clock.Time // moment before it was read, on the director's clock
	Epoch     int64
	Open      bool
	Step      int64 // last step that was begun
	Version   int64 // of the map in use
	Prepared  int64 // version whose copy is complete, or None
	Armed     int64 // version, or None
	ArmedStep int64
	Held      int64 // step, or None
	Busy      bool  // it has requests, so that passes follow one another
}

// Phases of a director.
const (
	phaseIdle          = iota
	phasePrepare       // all ranks copy their experts
	phaseHold          // the holder holds a step
	phaseArmHolder     // the holder arms
	phaseArmFirst      // the rank beside the proposing director arms
	phaseArm           // the others arm
	phaseVerify        // all are read back
	phaseGo            // the holder releases the step
	phaseBackOutHold   // the holder confirms that the step is still held for this director
	phaseBackOut       // all but these two disarm
	phaseBackOutFirst  // the rank beside the proposing director disarms
	phaseBackOutHolder // the holder disarms
	phaseCheck         // all are read back
	phaseSeize         // a hold that another director left behind is taken over
	phaseSurvey        // all ranks are read to decide what becomes of it
)

// Owners bounds the ranks that may direct: a version of a map is a multiple of it plus the rank of its director.
const Owners = 1 << 10

// Timing of a director, in ms.
const (
	resend       = 35 * clock.Millisecond   // until an unanswered command is sent again
	copyResend   = 400 * clock.Millisecond  // the same for an order to prepare, which is large
	prepareLimit = 6 * clock.Second         // for all ranks to copy their experts
	absentAfter  = 400 * clock.Millisecond  // silence of a rank beside a director that is gone, after which it is left out
	armLimit     = 700 * clock.Millisecond  // for all ranks to arm and to be read back, while a step is held
	holdLimit    = 2 * clock.Second         // for a hold to be acknowledged
	foreignAfter = 300 * clock.Millisecond  // a hold that is not the director's own is looked into after that
	restAfter    = 1500 * clock.Millisecond // after a switch that failed
	fencedRest   = 3 * clock.Second         // after another director has shown itself
	armTime      = 60 * clock.Millisecond   // for all ranks to be armed and read back before the held step is reached
	armTimeLossy = 450 * clock.Millisecond  // the same after orders have gone unanswered
	usualPass    = 60 * clock.Millisecond   // of a pass, before any is measured
	leastPass    = 10 * clock.Millisecond
	lossyFor     = 10 * clock.Second // after an order has gone unanswered
)

// Director switches a group from one map to the next: it holds a step, arms every rank for it, reads all back and
// releases the step only where they are unanimous; else it takes everything back first.
//
// Orders may be lost and carried out late, so each try has a higher fence than anything before it, and nothing is left
// half done: a hold that another director left behind is seized, and completed or taken back. The rank beside the
// director is out of reach when the director's instance is, so another one holds. The holder is armed first, then the own
// rank, then the others, and all are disarmed the other way round: while the holder is not armed no rank is, and where
// any but these two is armed the own rank is too. So another director can decide without it. It is a pure state machine,
// for one goroutine.
type Director struct {
	own    int // the rank beside the director
	first  int // the rank that is armed before the others: the one beside the director that proposed the map
	holder int // the rank that holds
	ranks  []Standing
	phase  int
	since  clock.Time // begin of the phase

	version int64
	step    int64
	epoch   int64
	fence   int64
	next    uint64
	m       Map
	done    []bool             // by rank: acknowledged in this phase
	marks   []clock.Time       // by rank: moment after which a standing proves this phase
	open    map[uint64]Command // unanswered commands
	sent    []clock.Time       // by rank: last command of this phase
	rest    clock.Time         // no new switch before
	foreign clock.Time         // since when a foreign hold is seen, 0 for none
	commits bool               // phaseGo completes a switch
	left    bool               // the first rank is out of reach and known to be armed
	pass    clock.Span         // length of a pass in ms, 0 before one is measured
	lost    clock.Time         // last unanswered order, 0 for none
	result  Outcome
	began   clock.Time // of the switch that is under way
	copied  clock.Time // when all ranks had prepared its map, 0 before
}

// Outcome tells what became of a proposal.
type Outcome struct {
	Ended     bool
	Committed bool
	Version   int64
	Reason    string
	Copied    clock.Span // time in ms until all ranks had prepared the map
	Armed     clock.Span // time in ms from then until the end
}

// NewDirector returns a director of a group of so many ranks, all unknown yet.
func NewDirector(ranks, own int) *Director {
	d := &Director{own: own, ranks: make([]Standing, ranks), open: make(map[uint64]Command)}
	for i := range d.ranks {
		d.ranks[i] = Standing{Epoch: None, Prepared: None, Armed: None, Held: None, Asked: -1}
	}
	return d
}

// Busy tells whether a switch, or the mending of one, is under way.
func (d *Director) Busy() bool {
	return d.phase != phaseIdle
}

// Urgent tells whether the director waits for standings that were read after it began its phase.
func (d *Director) Urgent() bool {
	switch d.phase {
	case phaseVerify, phaseCheck, phaseSurvey:
		return true
	}
	return false
}

// Holding tells whether a step may be held by this director now.
func (d *Director) Holding() bool {
	return d.phase > phaseHold
}

// Take returns what became of the last proposal, once.
func (d *Director) Take() Outcome {
	o := d.result
	d.result = Outcome{}
	return o
}

// Standing returns what is known of the rank.
func (d *Director) Standing(rank int) Standing {
	return d.ranks[rank]
}

// Whole tells whether all ranks were read after the moment, are in one life of the group and it is open.
func (d *Director) Whole(after clock.Time) bool {
	for _, s := range d.ranks {
		if s.Asked < after || s.Epoch != d.ranks[0].Epoch || !s.Open {
			return false
		}
	}
	return true
}

// Propose begins the switch to m, or refuses where one is under way, the group is not whole or the version is not above
// all that are known; fence must be above all fences that this director has used.
func (d *Director) Propose(now clock.Time, m Map, version, fence int64) bool {
	if d.phase != phaseIdle || now < d.rest || !d.settled() {
		return false
	}
	for _, s := range d.ranks {
		if version <= max(s.Version, s.Prepared, s.Armed) {
			return false
		}
	}
	d.version, d.m, d.epoch = version, m, d.ranks[0].Epoch
	d.first = d.own
	d.holder = (d.own + (len(d.ranks)+1)/2) % len(d.ranks)
	d.fence = max(d.fence+1, fence)
	d.left = false
	d.began, d.copied = now, 0
	d.enter(now, phasePrepare)
	return true
}

// settled tells whether all ranks use one map and nothing is armed or held.
func (d *Director) settled() bool {
	first := d.ranks[0]
	for _, s := range d.ranks {
		if s.Epoch == None || !s.Open || s.Epoch != first.Epoch || s.Version != first.Version || s.Armed != None || s.Held != None {
			return false
		}
	}
	return true
}

func (d *Director) enter(now clock.Time, phase int) {
	d.phase, d.since = phase, now
	d.done = make([]bool, len(d.ranks))
	d.sent = make([]clock.Time, len(d.ranks))
	d.marks = make([]clock.Time, len(d.ranks))
	for i := range d.sent {
		d.sent[i] = -1
		d.marks[i] = now
	}
	clear(d.open)
}

// Read takes in a rank's standing; one that is older than what is known is dropped.
func (d *Director) Read(rank int, s Standing) {
	if rank < 0 || rank >= len(d.ranks) || s.Asked < d.ranks[rank].Asked {
		return
	}
	if rank == d.own {
		d.timed(d.ranks[rank], s)
	}
	d.ranks[rank] = s
}

// Handle takes in the reply to a command.
func (d *Director) Handle(now clock.Time, id uint64, reply Reply) {
	c, known := d.open[id]
	if !known {
		return
	}
	delete(d.open, id)
	switch reply {
	case ReplyDone:
		d.done[c.Rank] = true
		d.marks[c.Rank] = now
	case ReplyFenced:
		d.fenced(now)
	case ReplyRefused:
		d.refused(now, c)
	case ReplyLost:
		d.lost = now
		d.sent[c.Rank] = min(d.sent[c.Rank], now.Add(-resend/2)) // soon again
	}
}

// fenced leaves the group to the director with the higher fence.
func (d *Director) fenced(now clock.Time) {
	d.end(now, false, "another director gives orders")
	d.rest = now.Add(fencedRest)
	d.foreign = 0
}

func (d *Director) refused(now clock.Time, c Command) {
	switch d.phase {
	case phasePrepare:
		d.end(now, false, "a rank refused the map")
		d.rest = now.Add(restAfter)
	case phaseHold:
		d.step = None // the step has begun: hold a later one
		d.sent[d.holder] = -1
	case phaseArm, phaseArmFirst, phaseArmHolder:
		d.backOut(now, "a rank refused to arm")
	case phaseGo, phaseSeize, phaseBackOutHold:
		d.step = None // nothing is held there any more
		d.end(now, false, "the step is not held")
	case phaseBackOut, phaseBackOutFirst, phaseBackOutHolder:
		d.done[c.Rank] = true // nothing of that version is armed; the order's fence has been seen
		d.marks[c.Rank] = now
	}
}

func (d *Director) backOut(now clock.Time, reason string) {
	d.result = Outcome{Version: d.version, Reason: reason}
	if d.version == None {
		for _, s := range d.ranks {
			d.version = max(d.version, s.Prepared, 0) // any version: the order is for its fence
		}
	}
	d.fence++
	d.commits, d.left = false, false
	d.enter(now, phaseBackOutHold)
}

func (d *Director) end(now clock.Time, committed bool, reason string) {
	if d.result.Reason == "" {
		d.result = Outcome{Version: d.version, Committed: committed, Reason: reason}
	}
	d.result.Ended = true
	if d.began > 0 && d.copied > 0 {
		d.result.Copied, d.result.Armed = d.copied.Sub(d.began), now.Sub(d.copied)
	}
	d.began = 0
	if !committed {
		d.rest = max(d.rest, now.Add(restAfter))
	}
	d.enter(now, phaseIdle)
}

// Tick moves on where it can and returns the commands to send now.
func (d *Director) Tick(now clock.Time, fence int64) []Command {
	if d.phase != phaseIdle && d.reborn() {
		d.end(now, false, "the group began a new life")
	}
	switch d.phase {
	case phaseIdle:
		d.watch(now, fence)
	case phasePrepare:
		d.prepare(now)
	case phaseHold:
		d.hold(now)
	case phaseArmHolder:
		d.arm(now, phaseArmFirst)
	case phaseArmFirst:
		d.arm(now, phaseArm)
	case phaseArm:
		d.arm(now, phaseVerify)
	case phaseVerify:
		d.verify(now)
	case phaseGo:
		if d.done[d.holder] {
			d.released(now)
		}
	case phaseBackOutHold:
		if d.complete(d.obeyed) {
			d.enter(now, phaseBackOut)
		}
	case phaseBackOut:
		if d.complete(d.obeyed) && d.left {
			d.enter(now, phaseBackOutHolder)
		} else if d.complete(d.obeyed) {
			d.enter(now, phaseBackOutFirst)
		}
	case phaseBackOutFirst:
		if d.complete(d.obeyed) {
			d.enter(now, phaseBackOutHolder)
		}
	case phaseBackOutHolder:
		if d.complete(d.obeyed) {
			d.enter(now, phaseCheck)
		}
	case phaseCheck:
		d.check(now)
	case phaseSeize:
		if d.done[d.holder] {
			d.enter(now, phaseSurvey)
		}
	case phaseSurvey:
		d.survey(now)
	}
	return d.send(now)
}
