package main

import (
	"fmt"
	"sync"
	"time"
)

// versionCase has trouble in which one consumer sends some requests to the added route that expect a version of the weights which
// no engine has, and which the engines answer with 421.
func versionCase(in *installation, trouble bool) (broken bool, err error) {
	const expecting = 6 // requests that expect another version
	return addedRouteCase(in, trouble, func(_ []*engineProcess) {
		for i := range expecting {
			c := &consumer{in: in, entry: in.entries[i%len(in.entries)]}
			r := c.do("GET", "/cufi504/2f", nil, addedTimeLimit, "X-Carawaypick-Expect-Version: 2")
			c.close()
			in.note("consumer: %s expects version 2 at %s: status %d", r.id, c.entry.name, r.status)
		}
	})
}

// mirrorCase has trouble in which another writer copies the registrations of the engines of the added route, under ids and for a
// service of its own.
func mirrorCase(in *installation, trouble bool) (broken bool, err error) {
	return addedRouteCase(in, trouble, func(engines []*engineProcess) {
		for i, p := range engines {
			mirror := *p
			mirror.id, mirror.service = fmt.Sprintf("mirror-%d", i+1), "mirror"
			mirror.register(in, "ready")
		}
	})
}

const addedTimeLimit = 4 * time.Second

// addedRouteCase has a route that is added after the start, to a service whose engines are given to cause.
func addedRouteCase(in *installation, trouble bool, cause func(engines []*engineProcess)) (broken bool, err error) {
	const (
		engines = 3
		callers = 6
	)
	first := route("r-2yhvz3p", "/lohu930/", "safe", 4000, 2)
	added := route("r-cufi504", "/cufi504/", "safe", 4000, 2)
	added["service"] = plainService
	in.configure(1, []map[string]any{first}, 200)
	var processes []*engineProcess
	for i, name := range []string{modelService, plainService} {
		for k := range engines {
			p, err := in.startEngine(name, i*engines+k, 12, "framed", 30*time.Millisecond)
			if err != nil {
				return false, err
			}
			processes = append(processes, p)
		}
	}
	if err := in.startEntries(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // contact-ms
	in.note("operator: version 2 adds the route /cufi504/")
	in.configure(2, []map[string]any{first, added}, 200)
	time.Sleep(3 * time.Second) // config-ms and more
	var mu sync.Mutex
	var sent, served [2]int
	var counting bool
	stop := make(chan struct{})
	var work sync.WaitGroup
	for k := range callers {
		work.Go(func() {
			c := &consumer{in: in, entry: in.entries[k%len(in.entries)]}
			defer c.close()
			kind := k / len(in.entries)
			path := []string{"/lohu930/2f", "/cufi504/2f"}[kind]
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				r := c.do("GET", path, nil, addedTimeLimit)
				in.note("consumer: %s %s at %s: status %d, error %v, ran at %v", r.id, path, c.entry.name, r.status, r.err, ranAt(r.id))
				mu.Lock()
				if counting {
					sent[kind]++
					if r.err == nil && r.status == 200 {
						served[kind]++
					}
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		cause(processes[engines:])
	}
	time.Sleep(time.Second)
	mu.Lock()
	counting = true
	mu.Unlock()
	time.Sleep(15 * time.Second)
	close(stop)
	work.Wait()
	in.note("first route: %d of %d served; added route: %d of %d served", served[0], sent[0], served[1], sent[1])
	fmt.Printf("first route: %d of %d served; added route: %d of %d served\n", served[0], sent[0], served[1], sent[1])
	if sent[1] < 20 || served[0] == 0 {
		return false, fmt.Errorf("too few requests")
	}
	return float64(served[1])/float64(sent[1]) < float64(served[0])/float64(sent[0])/4, nil
}
