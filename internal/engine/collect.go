package engine

import (
	"context"
	"slices"
	"time"

	"carawaypick/pkg/clock"
)

// collection asks an agent for the sum of the counts of several ranks, its own among them.
type collection struct {
	Group   string
	Rank    int    // rank of the coordinator, whose last collection the counts follow
	Round   uint64 // of the coordinator
	ReplyTo string // IP address of the coordinator
	Members []string
}

// countRequest asks an agent for the counts of its rank.
type countRequest struct {
	Group string
	Rank  int // rank of the coordinator
	Round uint64
}

// countReply is the counts of one rank, or of several ranks together.
type countReply struct {
	Group  string
	Round  uint64
	Ranks  int       // number of ranks with counts
	Counts [][]int64 // by set and expert
}

// collectTimeout is the time in ms that an agent waits for the counts of the other ranks of a collection.
const collectTimeout = 120 * clock.Millisecond

// countSum is a sum of counts that an agent collects.
type countSum struct {
	request collection
	reply   countReply
	missing int // ranks whose counts have not arrived
}

// add adds the counts of a rank and reports whether all have arrived.
func (s *countSum) add(r countReply) (complete bool) {
	s.missing--
	if s.reply.Counts == nil {
		s.reply.Counts = r.Counts
	} else if len(r.Counts) == len(s.reply.Counts) {
		for set, row := range r.Counts {
			for e, count := range row[:min(len(row), len(s.reply.Counts[set]))] {
				s.reply.Counts[set][e] += count
			}
		}
	}
	s.reply.Ranks += r.Ranks
	return s.missing == 0
}

// collect collects the counts of the collection's ranks and sends their sum when all have arrived or collectTimeout is over.
func (a *Agent) collect(ctx context.Context, from string, c collection) {
	sum := &countSum{request: c, reply: countReply{Group: c.Group, Round: c.Round}, missing: len(c.Members) + 1}
	a.mu.Lock()
	if a.collecting != nil && a.collecting.request.Round == c.Round {
		a.mu.Unlock()
		return // a repeated message
	}
	a.collecting = sum
	a.mu.Unlock()
	for _, ip := range c.Members {
		a.send(ip, message{CountRequest: &countRequest{Group: c.Group, Rank: c.Rank, Round: c.Round}})
	}
	a.runForAgent(ctx, from, "collect", func(ctx context.Context) {
		own, ok := a.ownCounts(ctx, countRequest{Group: c.Group, Rank: c.Rank, Round: c.Round})
		if !ok {
			own = countReply{Group: c.Group, Round: c.Round}
		}
		a.receiveCounts(own)
	})
	time.AfterFunc(collectTimeout.Duration(), func() { a.finishCollection(sum) })
}

// answerCountRequest sends the counts of this rank to the agent that collects them.
func (a *Agent) answerCountRequest(ctx context.Context, from string, r countRequest) {
	if reply, ok := a.ownCounts(ctx, r); ok {
		a.send(from, message{CountReply: &reply})
	}
}

// ownCounts reads the counts of this rank since the coordinator's last collection.
func (a *Agent) ownCounts(ctx context.Context, r countRequest) (reply countReply, ok bool) {
	status, ok := a.readEngine(ctx, poll{Group: r.Group, Rank: r.Rank, WantCounts: true})
	if !ok || status.Group != r.Group {
		return reply, false
	}
	reply = countReply{Group: r.Group, Round: r.Round, Counts: status.Counts}
	if status.Counts != nil {
		reply.Ranks = 1
	}
	return reply, true
}

// receiveCounts adds counts to the collection of this agent, or to those of its controller if they are a sum for it.
func (a *Agent) receiveCounts(r countReply) {
	a.mu.Lock()
	sum := a.collecting
	if sum != nil && sum.request.Round == r.Round && sum.request.Group == r.Group {
		complete := sum.add(r)
		a.mu.Unlock()
		if complete {
			a.finishCollection(sum)
		}
		return
	}
	if a.controller != nil {
		a.controller.receiveSum(r)
	}
	a.mu.Unlock()
}

// finishCollection sends the sum to the coordinator, once.
func (a *Agent) finishCollection(sum *countSum) {
	a.mu.Lock()
	if a.collecting != sum {
		a.mu.Unlock()
		return
	}
	a.collecting = nil
	a.mu.Unlock()
	a.send(sum.request.ReplyTo, message{CountReply: &sum.reply})
}

// receiveSum adds the sum of a batch of ranks.
func (c *mapController) receiveSum(r countReply) {
	if r.Round != c.collectRound || c.batchesMissing == 0 {
		return
	}
	c.batchesMissing--
	c.addCounts(r.Counts)
}

// nextCollections returns the collections of the counts of all ranks but the coordinator's own, which are due at now, with
// the IP addresses of the agents that collect them. An agent that responds leads each batch.
func (c *mapController) nextCollections(now clock.Time, group string, ownRank int, ownIP string, members []Member) (leaders []string, collections []collection) {
	if c.budget.countsFit() || now.Sub(c.collectedAt) < c.budget.countInterval() {
		return nil, nil
	}
	c.collectedAt = now
	c.collectRound++
	var responsive []Member
	for _, m := range members {
		if m.Rank != ownRank && m.Rank >= 0 && m.Rank < len(c.receivedAt) && c.responds(now, m.Rank) {
			responsive = append(responsive, m)
		}
	}
	for batch := range slices.Chunk(responsive, c.budget.batchSize()) {
		next := collection{Group: group, Rank: ownRank, Round: c.collectRound, ReplyTo: ownIP}
		for _, m := range batch[1:] {
			next.Members = append(next.Members, m.IP)
		}
		leaders, collections = append(leaders, batch[0].IP), append(collections, next)
	}
	c.batchesMissing = len(collections)
	return leaders, collections
}
