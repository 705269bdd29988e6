package expert

import "carawaypick/pkg/clock"

// handleQuery replies to another rank's query with this rank's view, unless the other rank is cold and lacks priority.
func (r *Rank) handleQuery(now clock.Time, m Message) []Envelope {
	if m.View == nil || r.index(m.From) < 0 {
		return nil
	}
	reply := Message{Kind: KindQueryReply, Echo: m.Token}
	if !m.View.Cold {
		if !r.cold {
			r.rejectUpTo(m.Fence)
		}
		return r.envelope(m.From, reply)
	}
	if !r.hasPriority(now, m.From) {
		return nil
	}
	r.lastJoiner = m.From
	r.backoffUntil = now.Add(joinBackoff)
	reply.Token = r.lockDecisions(m.From, m.Token)
	return r.envelope(m.From, reply)
}

// hasPriority reports whether a joining rank has the lowest index of all ranks that this rank knows to be joining.
func (r *Rank) hasPriority(now clock.Time, name string) bool {
	if r.cold && r.index(r.name) < r.index(name) {
		return false
	}
	return now >= r.backoffUntil || r.index(name) <= r.index(r.lastJoiner)
}

// lockDecisions blocks all decisions of this rank until the cold one has joined, and returns the token that its
// join message must carry; a repeated query gets the same token.
func (r *Rank) lockDecisions(name string, queryToken uint64) uint64 {
	l, ok := r.joinLocks[name]
	if ok && l.queryToken == queryToken && l.joinToken == r.lastJoinToken {
		return l.joinToken
	}
	r.lastJoinToken++
	r.joinLocks[name] = joinLock{queryToken: queryToken, joinToken: r.lastJoinToken}
	r.discardReplies()
	return r.lastJoinToken
}

// collectReply stores a reply to a query of this cold rank and starts a new generation once all other ranks have replied.
func (r *Rank) collectReply(m Message) []Envelope {
	if m.Echo != r.queryToken || m.Token == 0 {
		return nil
	}
	r.replies[m.From] = *m.View
	r.joinTokens[m.From] = m.Token
	if len(r.replies) < len(r.ranks)-1 {
		return nil
	}
	return r.beginGeneration()
}

// beginGeneration starts a new generation from the replies of all other ranks. A proposal that no reply shows as
// committed can't be committed afterwards.
func (r *Rank) beginGeneration() []Envelope {
	v := mergeViews(r.replies, r.initialMap)
	v.Generation = Generation{Count: v.Generation.Count + 1, Nonce: r.queryToken}
	r.adopt(v)
	var out []Envelope
	for _, name := range r.ranks {
		if token, ok := r.joinTokens[name]; ok {
			out = append(out, r.envelope(name, Message{Kind: KindJoin, Token: token})...)
		}
	}
	clear(r.joinTokens)
	return out
}

// mergeViews merges the views of the highest generation into one state.
func mergeViews(views map[string]View, initialMap Map) View {
	v := View{Current: Activation{Map: initialMap}}
	for _, view := range views {
		v.Generation.Count = max(v.Generation.Count, view.Generation.Count)
	}
	for _, view := range views {
		if view.Cold || view.Generation.Count < v.Generation.Count {
			continue
		}
		v.Step = max(v.Step, view.Step)
		v.Highest = maxFence(v.Highest, view.Highest)
		if v.Current.Fence.Less(view.Current.Fence) {
			v.Current = view.Current
		}
		if view.Next != nil {
			v.Next = view.Next
		}
	}
	if v.Next != nil && !v.Current.Fence.Less(v.Next.Fence) {
		v.Next = nil
	}
	return v
}

func maxFence(f, g Fence) Fence {
	if f.Less(g) {
		return g
	}
	return f
}

// handleJoin adopts a joining rank's state if it is based on the newest reply of this rank; otherwise another joining
// rank may already have started a generation from the newest reply.
func (r *Rank) handleJoin(m Message) {
	l, ok := r.joinLocks[m.From]
	if !ok || l.joinToken != m.Token || m.Token != r.lastJoinToken || m.View == nil || m.View.Generation.Count <= r.generation.Count {
		return
	}
	delete(r.joinLocks, m.From)
	r.adopt(*m.View)
}

// adopt replaces this rank's state by that of a higher generation.
func (r *Rank) adopt(v View) {
	if r.cold {
		r.step = v.Step
	}
	r.cold = false
	r.generation = v.Generation
	r.highest = maxFence(r.highest, v.Highest)
	r.current = v.Current
	r.next = v.Next
	r.promised = nil
	r.waiting = false
	r.discardReplies()
}
