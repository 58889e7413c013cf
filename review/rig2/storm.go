//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["6"] = playStorm }

// Sizes and times of the storms of configurations.
const (
	// stormRoutes makes a configuration of just under 1 MB, the store's value_bytes.
	stormRoutes    = 3900
	stormGap       = 80 * time.Millisecond
	stormLength    = 2 * time.Second
	stormPause     = 3 * time.Second
	stormTime      = 100 * time.Second
	stormConsumers = 60
	// stormThink is the mean time of a consumer between an answer and the next request.
	stormThink = 150 * time.Millisecond
	stormWork  = 60 * time.Millisecond
)

// stormCase has consumers on kept channels while the configuration changes.
type stormCase struct {
	*rig
	mu sync.Mutex
	// running has the requests that servers run, by id.
	running map[string]bool
	lost    int
	kills   map[string]int
}

// playStorm lets configurations come in quick succession.
func playStorm(r *rig) (bool, error) {
	s := &stormCase{rig: r, running: make(map[string]bool), kills: make(map[string]int)}
	zones := []string{"kirtipur", "lalitpur", "thimi"}
	for i, zone := range zones {
		if _, err := r.startServer(fmt.Sprintf("i-book-%d", i), "yard-book", zone, "", 6, s.serve); err != nil {
			return false, err
		}
	}
	s.writeConfig(1)
	if err := r.startDaemons(zones...); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	var all tally
	var consumers sync.WaitGroup
	stop := make(chan struct{})
	for n := range stormConsumers {
		consumers.Go(func() { s.consume(n, stop, &all) })
	}
	versions := make(chan int, 1)
	go func() { versions <- s.storms(stop) }()
	s.watchMemory(stormTime)
	time.Sleep(time.Second)
	close(stop)
	consumers.Wait()
	written := <-versions
	s.mu.Lock()
	defer s.mu.Unlock()
	r.logf("%d versions of %d bytes; processes killed for their memory, by machine: %v", written, len(r.store.Value("op/config")), s.kills)
	r.logf("what consumers got: %s", &all)
	r.logf("requests that a sound server ran, and whose kept channel was closed without any answer: %d, 3 allowed", s.lost)
	return s.lost > 3, nil
}

// writeConfig writes a version with many routes.
func (s *stormCase) writeConfig(version int) {
	routes := []routeConfig{{"safe", "/stock/", "yard-book", 4000, 2}}
	for n := range stormRoutes {
		routes = append(routes, routeConfig{"unsafe", fmt.Sprintf("/lot-%05d-%05d/", n, version), "yard-book", 4000, 1})
	}
	s.configure(version, []string{apiKey}, routes...)
}

// storms writes versions until stop is closed, and returns their number.
func (s *stormCase) storms(stop <-chan struct{}) int {
	version := 1
	for {
		for end := time.Now().Add(stormLength); time.Now().Before(end); {
			select {
			case <-stop:
				return version
			case <-time.After(stormGap):
			}
			if s.trouble {
				version++
				s.writeConfig(version)
			}
		}
		time.Sleep(stormPause)
	}
}

// watchMemory does what the platform does: it kills a process that exceeds its memory, and starts it again
// after a short delay.
func (s *stormCase) watchMemory(length time.Duration) {
	logged := make(map[string]float64)
	for end := time.Now().Add(length); time.Now().Before(end) && len(s.kills) < len(s.daemons); time.Sleep(10 * time.Millisecond) {
		for _, d := range s.daemons {
			resident := d.residentMB()
			if resident > logged[d.name]+25 {
				s.logf("%s holds %.0f MB", d.name, resident)
				logged[d.name] = resident
			}
			if resident <= memoryMB {
				continue
			}
			s.logf("%s holds %.0f MB, more than %d: the platform kills it", d.name, resident, memoryMB)
			s.mu.Lock()
			s.kills[d.name]++
			s.mu.Unlock()
			d.kill()
			logged[d.name] = 0
			time.AfterFunc(300*time.Millisecond, func() { _ = d.start() })
			time.Sleep(400 * time.Millisecond)
		}
	}
}

// consume sends one request after the other on a kept channel.
func (s *stormCase) consume(consumer int, stop <-chan struct{}, t *tally) {
	d := s.daemons[consumer%len(s.daemons)]
	var c *channel
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = openChannel(d); err != nil {
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		id := fmt.Sprintf("stock-%02d-%05d", consumer, n)
		answer := c.send(&call{id: id, path: "/stock/2f", body: fmt.Sprintf(`{"chest":%d}`, n), deadline: 4 * time.Second})
		t.add(answer)
		if answer.err == nil {
			s.logf("%s at %s: status %d", id, d.name, answer.status)
			time.Sleep(rand.N(2 * stormThink))
			continue
		}
		s.mu.Lock()
		s.logf("%s at %s: status %d, %v", id, d.name, answer.status, answer.err)
		if answer.status == 0 && s.running[id] {
			s.lost++
			s.logf("%s: the channel ends without an answer (%v); a sound server had run it", id, answer.err)
		}
		s.mu.Unlock()
		_ = c.Close()
		c = nil
	}
}

// serve answers a request after its work.
func (s *stormCase) serve(x *exchange) {
	s.mu.Lock()
	s.running[x.id] = true
	s.mu.Unlock()
	s.logf("%s runs at %s", x.id, x.server.id)
	time.Sleep(stormWork)
	x.answer(http.StatusOK, []string{x.stamp()}, x.id)
}
