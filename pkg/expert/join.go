package expert

import "carawaypick/pkg/clock"

// answer tells an asking rank what this one knows.
func (r *Rank) answer(now clock.Time, m Message) []Envelope {
	if m.View == nil || r.index(m.From) < 0 {
		return nil
	}
	tell := Message{Kind: Tell, Echo: m.Token}
	if !m.View.Cold {
		if !r.cold {
			r.vow(m.Fence)
		}
		return r.reply(m.From, tell)
	}
	if r.cold && r.index(r.name) < r.index(m.From) {
		return nil
	}
	tell.Token = r.lock(m.From, m.Token)
	if r.cold {
		r.quiet = now.Add(yieldFor)
	}
	return r.reply(m.From, tell)
}

// lock keeps this rank from any decision until the cold one has joined, and returns the token
// that its state must carry; a repeated ask gets the same.
func (r *Rank) lock(name string, ask uint64) uint64 {
	l, ok := r.locks[name]
	if ok && l.ask == ask && l.token == r.token {
		return l.token
	}
	r.token++
	r.locks[name] = lock{ask: ask, token: r.token}
	r.forget()
	return r.token
}

// gather collects the answers to a cold rank until all have told.
func (r *Rank) gather(m Message) []Envelope {
	if m.Echo != r.nonce || m.Token == 0 {
		return nil
	}
	r.told[m.From] = *m.View
	r.tokens[m.From] = m.Token
	if len(r.told) < len(r.ranks)-1 {
		return nil
	}
	return r.begin()
}

// begin starts a new generation from what all others have told, and what nobody
// has told to be committed never will be.
func (r *Rank) begin() []Envelope {
	v := merge(r.told, r.first)
	v.Generation = Generation{Count: v.Generation.Count + 1, Mark: r.nonce}
	r.adopt(v)
	var out []Envelope
	for name, token := range r.tokens {
		out = append(out, r.reply(name, Message{Kind: Join, Token: token})...)
	}
	clear(r.tokens)
	return out
}

// merge returns the state that follows from the views of the highest generation.
func merge(told map[string]View, first Map) View {
	v := View{Now: Use{Map: first}}
	for _, t := range told {
		v.Generation.Count = max(v.Generation.Count, t.Generation.Count)
	}
	for _, t := range told {
		if t.Cold || t.Generation.Count < v.Generation.Count {
			continue
		}
		v.Step = max(v.Step, t.Step)
		v.Highest = higher(v.Highest, t.Highest)
		if v.Now.Fence.Less(t.Now.Fence) {
			v.Now = t.Now
		}
		if t.Next != nil {
			v.Next = t.Next
		}
	}
	if v.Next != nil && !v.Now.Fence.Less(v.Next.Fence) {
		v.Next = nil
	}
	return v
}

func higher(f, g Fence) Fence {
	if f.Less(g) {
		return g
	}
	return f
}

// join goes on from a joining rank's state, if that rests on the newest answer that this rank has given;
// otherwise another joining rank may already have begun from that.
func (r *Rank) join(m Message) {
	l, ok := r.locks[m.From]
	if !ok || l.token != m.Token || m.Token != r.token || m.View == nil || m.View.Generation.Count <= r.generation.Count {
		return
	}
	delete(r.locks, m.From)
	r.adopt(*m.View)
}

// adopt takes over the state of a higher generation.
func (r *Rank) adopt(v View) {
	if r.cold {
		r.step = v.Step
	}
	r.cold = false
	r.generation = v.Generation
	r.highest = higher(r.highest, v.Highest)
	r.now = v.Now
	r.next = v.Next
	r.promise = nil
	r.waiting = false
	r.quiet = 0
	r.forget()
}
