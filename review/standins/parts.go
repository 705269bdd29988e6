package main

import (
	"fmt"
	"sync"
	"time"
)

// partsCase has a new shared part in all prompts from some moment on. With trouble the first requests that have it also have
// another part, which ends each engine that begins to write an answer on it.
func partsCase(in *installation, trouble bool) (broken bool, err error) {
	const (
		engines   = 6
		callers   = 9
		events    = 26
		timeLimit = 8 * time.Second
		downtime  = 3 * time.Second
	)
	in.configure(1, []map[string]any{route("r-2yhvz3p", "/lohu930/", "stream", 8000, 2)}, 328)
	for i := range engines {
		p, err := in.startEngine(modelService, i, 12, "framed", 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		in.revive(p, i, downtime)
	}
	if err := in.startEntries(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // contact-ms
	send := func(c *consumer, second, third string) result {
		return c.do("POST", "/lohu930/2f", []byte(fmt.Sprintf("events=%-10d %s", events, newID())), timeLimit, "X-Carawaypick-Model: m",
			fmt.Sprintf("X-Carawaypick-Token-Counts: 1014,%d", events*6), fmt.Sprintf("X-Carawaypick-Prompt-Prefix: 5c1e07a2:40,%s:200,%s:100,%s:674", second, third, r8()))
	}
	type sound struct {
		at    time.Time
		began bool
	}
	var mu sync.Mutex
	var all []sound
	third := "aaaa01"
	stop := make(chan struct{})
	var work sync.WaitGroup
	for k := range callers {
		work.Go(func() {
			c := &consumer{in: in, entry: in.entries[k%len(in.entries)]}
			defer c.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
				mu.Lock()
				part := third
				mu.Unlock()
				if part == "" {
					continue
				}
				r := send(c, "91bd3f06", part)
				ran := ranAt(r.id)
				in.note("consumer: sound %s with the part %s at %s: status %d, error %v, ran at %v", r.id, part, c.entry.name, r.status, r.err, ran)
				mu.Lock()
				all = append(all, sound{at: r.began, began: len(ran) > 0})
				mu.Unlock()
			}
		})
	}
	setThird := func(part string) {
		mu.Lock()
		defer mu.Unlock()
		third = part
	}
	time.Sleep(8 * time.Second)
	usualEnd := time.Now()
	setThird("") // consumers change to a prompt with another shared part
	if trouble {
		work.Go(func() {
			for i := 0; ; i++ {
				c := &consumer{in: in, entry: in.entries[i%len(in.entries)]}
				r := send(c, crashingPart, "bbbb02")
				c.close()
				in.note("consumer: crashing %s with the parts %s and bbbb02 at %s: status %d, error %v, ran at %v", r.id, crashingPart, c.entry.name, r.status, r.err, ranAt(r.id))
				select {
				case <-stop:
					return
				case <-time.After(2 * time.Second):
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	setThird("bbbb02")
	time.Sleep(25 * time.Second)
	close(stop)
	work.Wait()
	runsMu.Lock()
	from := time.Now().Add(-20 * time.Second)
	if len(crashes) > 0 {
		from = crashes[min(len(crashes), 5)-1].Add(6 * time.Second) // 2 x contact-ms after the fifth crash, or the last
	}
	count := len(crashes)
	runsMu.Unlock()
	var usual, usualBegan, later, laterBegan int
	for _, s := range all {
		if s.at.Before(usualEnd) {
			usual++
			if s.began {
				usualBegan++
			}
		} else if s.at.After(from) {
			later++
			if s.began {
				laterBegan++
			}
		}
	}
	in.note("%d crashes; sound requests that began at their first attempt: %d of %d before, %d of %d from 6 s after the last of the first five", count, usualBegan, usual, laterBegan, later)
	fmt.Printf("%d crashes; sound requests that began: %d of %d before, %d of %d after\n", count, usualBegan, usual, laterBegan, later)
	if usual < 20 || later < 20 || usualBegan == 0 {
		return false, fmt.Errorf("too few requests")
	}
	return float64(laterBegan)/float64(later) < float64(usualBegan)/float64(usual)/2, nil
}

// revive starts an engine again, as another one at the same address, some time after its process has ended.
func (in *installation) revive(p *engineProcess, number int, downtime time.Duration) {
	go func() {
		_ = p.command.Wait() // how it ended is in the record
		if in.closing.Load() {
			return
		}
		in.note("engine %s has ended", p.id)
		time.Sleep(downtime)
		in.store.put("servers/"+p.id, nil)
		if in.closing.Load() {
			return
		}
		in.lives++
		next, err := in.startEngineAs(modelService, 100*in.lives+number, number, p.slots, "framed", 20*time.Millisecond)
		if err != nil {
			in.note("engine at %s did not start again: %v", p.address, err)
			return
		}
		in.revive(next, number, downtime)
	}()
}
