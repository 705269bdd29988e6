package expert

// load takes a planner's wish to have the weights of a map fetched.
func (r *Rank) load(m Message) []Envelope {
	if r.cold {
		return nil
	}
	if r.voted(m.Fence) || r.have[m.Fence] && r.highest.Less(m.Fence) {
		return r.reply(m.From, Message{Kind: Loaded, Fence: m.Fence})
	}
	if !r.highest.Less(m.Fence) {
		return r.reply(m.From, Message{Kind: Refuse, Fence: m.Fence})
	}
	if r.loading == nil || r.loading.Fence.Less(m.Fence) {
		r.loading = &Use{Fence: m.Fence, Map: m.Map}
		r.planner = m.From
	}
	return nil
}

// prepare votes on an order; a refusal holds for ever.
//
// A cold rank doesn't vote, because it may have promised the order before it restarted.
func (r *Rank) prepare(m Message) []Envelope {
	if r.cold {
		return nil
	}
	if r.voted(m.Fence) {
		return r.reply(m.From, Message{Kind: Promise, Fence: m.Fence})
	}
	if !r.promises(m) {
		r.vow(m.Fence)
		return r.reply(m.From, Message{Kind: Refuse, Fence: m.Fence})
	}
	r.highest = m.Fence
	r.promise = &Use{Fence: m.Fence, Step: m.Step, Map: m.Map}
	r.forget()
	return r.reply(m.From, Message{Kind: Promise, Fence: m.Fence})
}

// voted says whether the order has had this rank's promise.
func (r *Rank) voted(f Fence) bool {
	return r.now.Fence == f || r.next != nil && r.next.Fence == f || r.promise != nil && r.promise.Fence == f
}

func (r *Rank) promises(m Message) bool {
	switch {
	case len(r.locks) > 0, r.promise != nil, r.next != nil:
		return false
	case m.Generation != r.generation, !r.highest.Less(m.Fence):
		return false
	}
	return m.Step > r.step && r.have[m.Fence]
}

// vow makes sure that an order that has no promise never gets one.
func (r *Rank) vow(f Fence) {
	if r.highest.Less(f) {
		r.highest = f
	}
}

// order takes a planner's word on the outcome of a vote.
func (r *Rank) order(m Message) {
	if r.cold || len(r.locks) > 0 || m.Generation != r.generation {
		return
	}
	if r.promise == nil || r.promise.Fence != m.Fence {
		if m.Kind == Abort {
			r.vow(m.Fence)
		}
		return
	}
	r.decide(m.Kind == Commit)
}

func (r *Rank) decide(commit bool) {
	if commit {
		r.next = r.promise
	}
	r.promise = nil
	r.waiting = false
	r.forget()
}

// hear takes another rank's answer to the present asks.
func (r *Rank) hear(m Message) []Envelope {
	if m.View == nil || r.index(m.From) < 0 {
		return nil
	}
	if r.cold {
		return r.gather(m)
	}
	if m.Echo != r.nonce || m.View.Cold {
		return nil
	}
	if m.View.Generation.Count > r.generation.Count {
		r.adopt(*m.View)
		return nil
	}
	if m.View.Generation != r.generation {
		return nil
	}
	delete(r.locks, m.From)
	r.tally(m.From, *m.View)
	return nil
}

// tally decides by the votes that the other ranks tell.
func (r *Rank) tally(from string, v View) {
	if r.promise == nil || len(r.locks) > 0 {
		return
	}
	f := r.promise.Fence
	switch {
	case v.Now.Fence == f, v.Next != nil && v.Next.Fence == f:
		r.decide(true)
	case v.Promise == nil || v.Promise.Fence != f:
		if !v.Highest.Less(f) {
			r.decide(false)
		}
	default:
		r.told[from] = v
		if len(r.told) == len(r.ranks)-1 {
			r.decide(true)
		}
	}
}
