package engine

import (
	"math"

	"carawaypick/pkg/clock"
)

// Shares of the coordinator's link that its traffic may use. The rest is left for commands and their replies.
const (
	statusShare  = 0.25 // for polls of the ranks' statuses
	switchShare  = 0.5  // for these polls during a switch, when no counts are collected
	countShare   = 0.3  // for counts
	remoteShare  = 0.05 // for reads of engines whose agents are unresponsive
	commandShare = 0.6  // for maps and other commands while they are sent
)

// Sizes in bytes of messages with the headers of the link, UDP and IP.
const (
	statusBytes     = 110  // of a poll or its reply
	remoteReadBytes = 1500 // of a read of another instance's engine over a new connection
	relayBytes      = 220  // of a relayed command without a map
	replyBytes      = 90   // of the reply to a command
	countBytes      = 0.7  // of one count of a rank, compressed
	sumBytes        = 1.5  // of one count that is summed over several ranks, compressed
	slotBytes       = 0.9  // of one expert slot of a map, compressed
	directMapBytes  = 32 << 10
	defaultLinkRate = 1000 // bytes per ms if the settings don't tell the link's throughput
)

// linkBudget paces the messages of a group's coordinator so that they fit its link.
type linkBudget struct {
	bytesPerMs float64 // throughput of the link
	ranks      int
	shape      Shape
}

func newLinkBudget(bytesPerMs float64, ranks int, s Shape) linkBudget {
	if bytesPerMs <= 0 {
		bytesPerMs = defaultLinkRate
	}
	return linkBudget{bytesPerMs: bytesPerMs, ranks: ranks, shape: s}
}

// duration returns the time in ms in which the share of the link carries the bytes.
func (b linkBudget) duration(bytes, share float64) clock.Span {
	return clock.Span(math.Ceil(bytes / (b.bytesPerMs * share)))
}

// pollInterval returns the time in ms between two polls of all ranks.
func (b linkBudget) pollInterval(switching bool) clock.Span {
	bytes := float64(b.ranks) * statusBytes
	if switching {
		return max(switchPollInterval, b.duration(bytes, switchShare))
	}
	return max(pollInterval, b.duration(bytes, statusShare))
}

// statusAge returns the age in ms up to which the statuses of all ranks are recent.
func (b linkBudget) statusAge() clock.Span {
	return 2 * b.pollInterval(false)
}

// agentTimeout returns the time in ms without a reply after which an agent is unresponsive.
func (b linkBudget) agentTimeout() clock.Span {
	return max(minAgentTimeout, 3*b.pollInterval(false))
}

// remoteReadInterval returns the time in ms between two reads of engines of other instances.
func (b linkBudget) remoteReadInterval() clock.Span {
	return b.duration(remoteReadBytes, remoteShare)
}

// countsFit reports whether all ranks can send their counts with each poll reply.
func (b linkBudget) countsFit() bool {
	return b.duration(float64(b.ranks)*b.numbers()*countBytes, countShare) <= b.pollInterval(false)
}

// numbers returns how many counts a rank has.
func (b linkBudget) numbers() float64 {
	return float64(b.shape.Sets * b.shape.Experts)
}

// batchSize returns the number of ranks in a batch, whose agents get a message through the agent of the first one. Batches
// are about as many as the ranks of one.
func (b linkBudget) batchSize() int {
	return max(1, int(math.Ceil(math.Sqrt(float64(b.ranks)))))
}

// countInterval returns the time in ms between two collections of the counts of all ranks.
func (b linkBudget) countInterval() clock.Span {
	if b.countsFit() {
		return b.pollInterval(false)
	}
	batch := float64(b.batchSize())
	atCoordinator := b.duration(float64(b.ranks)/batch*b.numbers()*sumBytes, countShare)
	inBatch := b.duration(batch*b.numbers()*countBytes, countShare)
	return max(b.pollInterval(false), atCoordinator, inBatch)
}

// mapBytes returns the size of a map on its way.
func (b linkBudget) mapBytes() float64 {
	return float64(b.shape.Sets*b.shape.SlotsPerRank*b.ranks) * slotBytes
}

// relayBatched reports whether commands to that many ranks go through the first agents of batches.
func (b linkBudget) relayBatched(commands int, withMap bool) bool {
	bytes := float64(commands) * relayBytes
	if withMap {
		bytes += float64(commands) * b.mapBytes()
	}
	return commands > b.batchSize() && bytes > directMapBytes
}

// resendAfter returns the time in ms that a command to all ranks and the replies may take.
func (b linkBudget) resendAfter(withMap bool) clock.Span {
	return b.relayTimeout(b.ranks, withMap) - minRelayTimeout
}

// relayTimeout returns the time in ms after which a relayed command to that many ranks counts as unanswered.
func (b linkBudget) relayTimeout(commands int, withMap bool) clock.Span {
	size := float64(relayBytes)
	if withMap {
		size += b.mapBytes()
	}
	sent := float64(commands)
	if b.relayBatched(commands, withMap) {
		sent = 2 * float64(b.batchSize()) // the coordinator's own messages, and then those of each batch
	}
	return minRelayTimeout + b.duration(sent*size+float64(commands)*replyBytes, commandShare)
}
