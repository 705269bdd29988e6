package expert

// handleLoad processes a planner's request to load the weights of a map.
func (r *Rank) handleLoad(m Message) []Envelope {
	if r.cold {
		return nil
	}
	if r.hasPromised(m.Fence) || r.loaded[m.Fence] && r.highest.Less(m.Fence) {
		return r.envelope(m.From, Message{Kind: KindLoaded, Fence: m.Fence})
	}
	if !r.highest.Less(m.Fence) {
		return r.envelope(m.From, Message{Kind: KindRefuse, Fence: m.Fence})
	}
	if r.requested == nil || r.requested.Fence.Less(m.Fence) {
		r.requested = &Activation{Fence: m.Fence, Map: m.Map}
		r.planner = m.From
	}
	return nil
}

// handlePrepare votes on a proposal; a refusal is final.
//
// A cold rank does not vote, because it may have promised the proposal before it restarted.
func (r *Rank) handlePrepare(m Message) []Envelope {
	if r.cold {
		return nil
	}
	if r.hasPromised(m.Fence) {
		return r.envelope(m.From, Message{Kind: KindPromise, Fence: m.Fence})
	}
	if !r.mayPromise(m) {
		r.rejectUpTo(m.Fence)
		return r.envelope(m.From, Message{Kind: KindRefuse, Fence: m.Fence})
	}
	r.highest = m.Fence
	r.promised = &Activation{Fence: m.Fence, Step: m.Step, Map: m.Map}
	r.discardReplies()
	return r.envelope(m.From, Message{Kind: KindPromise, Fence: m.Fence})
}

// hasPromised reports whether this rank has promised the proposal.
func (r *Rank) hasPromised(f Fence) bool {
	return r.current.Fence == f || r.next != nil && r.next.Fence == f || r.promised != nil && r.promised.Fence == f
}

func (r *Rank) mayPromise(m Message) bool {
	switch {
	case len(r.joinLocks) > 0, r.promised != nil, r.next != nil:
		return false
	case m.Generation != r.generation, !r.highest.Less(m.Fence):
		return false
	}
	return m.Step > r.step && r.loaded[m.Fence]
}

// rejectUpTo ensures that proposals up to f that have no promise never get one.
func (r *Rank) rejectUpTo(f Fence) {
	if r.highest.Less(f) {
		r.highest = f
	}
}

// handleOutcome processes a planner's message on the outcome of a vote.
func (r *Rank) handleOutcome(m Message) {
	if r.cold || len(r.joinLocks) > 0 || m.Generation != r.generation {
		return
	}
	if r.promised == nil || r.promised.Fence != m.Fence {
		if m.Kind == KindAbort {
			r.rejectUpTo(m.Fence)
		}
		return
	}
	r.decide(m.Kind == KindCommit)
}

func (r *Rank) decide(commit bool) {
	if commit {
		r.next = r.promised
	}
	r.promised = nil
	r.waiting = false
	r.discardReplies()
}

// handleQueryReply processes another rank's reply to the current queries.
func (r *Rank) handleQueryReply(m Message) []Envelope {
	if m.View == nil || r.index(m.From) < 0 {
		return nil
	}
	if r.cold {
		return r.collectReply(m)
	}
	if m.Echo != r.queryToken || m.View.Cold {
		return nil
	}
	if m.View.Generation.Count > r.generation.Count {
		r.adopt(*m.View)
		return nil
	}
	if m.View.Generation != r.generation {
		return nil
	}
	delete(r.joinLocks, m.From)
	r.tally(m.From, *m.View)
	return nil
}

// tally decides the promised proposal once the votes in other ranks' views determine its outcome.
func (r *Rank) tally(from string, v View) {
	if r.promised == nil || len(r.joinLocks) > 0 {
		return
	}
	f := r.promised.Fence
	switch {
	case v.Current.Fence == f, v.Next != nil && v.Next.Fence == f:
		r.decide(true)
	case v.Promised == nil || v.Promised.Fence != f:
		if !v.Highest.Less(f) {
			r.decide(false)
		}
	default:
		r.replies[from] = v
		if len(r.replies) == len(r.ranks)-1 {
			r.decide(true)
		}
	}
}
