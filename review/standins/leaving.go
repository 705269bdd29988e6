package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// leavingCase has engines whose streams have neither a length nor chunks. With trouble one engine after the other announces
// that it leaves and exits drain-ms and a little later.
func leavingCase(in *installation, trouble bool) (broken bool, err error) {
	const (
		engines   = 9
		pace      = 80 * time.Millisecond
		callers   = 45
		leavers   = 3
		timeLimit = 8 * time.Second
	)
	in.configure(1, []map[string]any{route("r-2yhvz3p", "/lohu930/", "stream", 8000, 2)}, 328)
	var processes []*engineProcess
	for i := range engines {
		p, err := in.startEngine(modelService, i, 12, "unframed", pace)
		if err != nil {
			return false, err
		}
		processes = append(processes, p)
	}
	if err := in.startEntries(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // contact-ms
	stop := make(chan struct{})
	var work sync.WaitGroup
	var mu sync.Mutex
	sent, whole, early, short := 0, 0, 0, 0
	crash := os.Getenv("TROUBLE") == "crash" // engines end without a notice: for comparison
	for k := range callers {
		work.Go(func() {
			c := &consumer{in: in, entry: in.entries[k%len(in.entries)]}
			defer c.close()
			random := rand.New(rand.NewPCG(uint64(k), 1))
			for {
				select {
				case <-stop:
					return
				default:
				}
				events := 26 + random.IntN(40)
				r := c.do("POST", "/lohu930/2f", []byte(fmt.Sprintf("events=%-10d", events)), timeLimit,
					"X-Carawaypick-Model: m", fmt.Sprintf("X-Carawaypick-Token-Counts: 714,%d", events*6), fmt.Sprintf("X-Carawaypick-Prompt-Prefix: 5c1e07a2:40,%s:674", r8()))
				got := strings.Count(string(r.body), "\n\n")
				in.note("consumer: %s at %s: status %d, proof %t, %d of %d events, complete %t, %d ms, error %v, ran at %v", r.id, c.entry.name, r.status, r.sealed, got, events, r.err == nil, r.ended.Sub(r.began).Milliseconds(), r.err, ranAt(r.id))
				mu.Lock()
				sent++
				switch {
				case r.err == nil && r.status == 200 && got == events:
					whole++
				case r.err == nil && r.status == 200:
					early++
					in.note("BROKEN: %s ended as complete after event %d of %d", r.id, got, events)
				default:
					short++
				}
				mu.Unlock()
				if r.status != 200 {
					time.Sleep(500 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	for i := range leavers {
		p := processes[i]
		if trouble {
			if !crash {
				p.register(in, "draining")
			}
			time.Sleep(drainMs*time.Millisecond + 300*time.Millisecond)
			in.note("engine %s exits", p.id)
			_ = p.command.Process.Signal(syscall.SIGTERM) // the process is a child that was not waited for
			if !crash {
				in.store.put("servers/"+p.id, nil)
			}
		} else {
			time.Sleep(drainMs*time.Millisecond + 300*time.Millisecond)
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	work.Wait()
	in.note("%d streams: %d whole, %d ended as complete before their last piece, %d failed or cut", sent, whole, early, short)
	fmt.Printf("%d streams: %d whole, %d ended as complete before their last piece, %d failed or cut\n", sent, whole, early, short)
	if whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return early > 0, nil
}

func r8() string {
	return newID()[:8]
}
