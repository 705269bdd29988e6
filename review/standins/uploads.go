package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// uploads is a case of consumers that send bodies as long as the configuration allows.
type uploads struct {
	in       *installation
	limiters []*pacer // of the link of each entry
	stop     chan struct{}

	mu      sync.Mutex
	answers map[string]int
	lost    int // requests that the surviving entry passed on and did not answer
}

const uploadTimeLimit = 4 * time.Second

// uploadsCase has consumers that send long bodies beside others that send short ones, spread over three entries. With trouble
// two of the three are killed at once and start again 2 s later, so their consumers go to the third. An entry whose memory
// exceeds memory-mb is killed, as the platform does.
func uploadsCase(in *installation, trouble bool) (broken bool, err error) {
	const (
		engines   = 6
		uploaders = 108   // 36 at each entry
		others    = 36    // consumers with short bodies, 12 at each entry
		linkRate  = 125e6 // bytes a second of 1,000 Mbit/s
		downtime  = 2 * time.Second
	)
	in.configure(1, []map[string]any{route("r-puxa403", "/puxa403/", "unsafe", 4000, 1)}, 200)
	for i := range engines {
		if _, err := in.startEngine(modelService, i, 12, "framed", 200*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := in.startEntries(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // contact-ms
	u := &uploads{in: in, stop: make(chan struct{}), answers: make(map[string]int)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	peaks := make([]int, len(in.entries))
	go in.watchMemory(ctx, peaks)
	for range in.entries {
		u.limiters = append(u.limiters, &pacer{bytesPerSecond: linkRate})
	}
	var work sync.WaitGroup
	for k := range uploaders + others {
		body := []byte("short")
		if k < uploaders {
			body = make([]byte, maxBody)
		}
		work.Go(func() { u.consume(k, k%len(in.entries), body) })
	}
	time.Sleep(8 * time.Second)
	in.note("peak memory in MiB until here %v", peaks)
	if trouble {
		for _, e := range in.entries[:2] {
			in.note("trouble: %s is killed", e.name)
			e.kill()
		}
		time.Sleep(downtime)
		for _, e := range in.entries[:2] {
			in.note("platform: %s starts again", e.name)
			if err := e.start(in); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(6 * time.Second)
	close(u.stop)
	work.Wait()
	cancel()
	in.note("answers %v; peak memory in MiB %v; %s lost %d requests", u.answers, peaks, in.entries[2].name, u.lost)
	fmt.Printf("answers %v; peak memory in MiB %v; %s lost %d requests\n", u.answers, peaks, in.entries[2].name, u.lost)
	return u.lost > 3, nil
}

// consume sends one request after the other until the end of the case, over a kept connection to an entry of the directory.
func (u *uploads) consume(k, zone int, long []byte) {
	random := rand.New(rand.NewPCG(uint64(k), 1))
	var c *consumer
	at := zone
	for {
		select {
		case <-u.stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(time.Duration(random.IntN(400)) * time.Millisecond):
		}
		body := long
		if c == nil || c.conn == nil {
			if at = u.resolve(zone, random); at < 0 {
				continue
			}
			c = &consumer{in: u.in, entry: u.in.entries[at], limiter: u.limiters[at]}
			body = []byte("small") // the first request on a connection
		}
		r := c.do("POST", "/puxa403/2f", body, uploadTimeLimit)
		u.account(c, at, r)
	}
}

// resolve asks the entries where to connect, the one in its own zone first, and draws one of the addresses. It returns the
// number of the entry, -1 for none.
func (u *uploads) resolve(zone int, random *rand.Rand) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range u.in.entries {
		asked := u.in.entries[(zone+i)%len(u.in.entries)]
		response, err := client.Get(fmt.Sprintf("http://%s:8224/api/resolve?name=%s&region=r&zone=z%d", asked.ip, host, zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err != nil || len(answer.Addresses) == 0 {
			continue
		}
		ip, _, _ := net.SplitHostPort(answer.Addresses[random.IntN(len(answer.Addresses))])
		for n, e := range u.in.entries {
			if e.ip == ip {
				return n
			}
		}
	}
	return -1
}

// account records an answer, and whether the surviving entry lost the request.
func (u *uploads) account(c *consumer, at int, r result) {
	ran := ranAt(r.id)
	word := fmt.Sprintf("status %d", r.status)
	if r.status == 0 {
		word = "no answer"
	}
	u.in.note("consumer: %s at %s: %s, whole request sent %t, kept connection %t, %d ms, error %v, ran at %v", r.id, c.entry.name, word, r.sent, r.keptConn, r.ended.Sub(r.began).Milliseconds(), r.err, ran)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answers[word]++
	if at != len(u.in.entries)-1 || r.status != 0 || !r.sent || !r.keptConn || len(ran) == 0 || r.ended.Sub(r.began) >= uploadTimeLimit {
		return
	}
	u.lost++
	u.in.note("BROKEN: %s was passed on to %v, and its kept connection closed without an answer", r.id, ran)
}
