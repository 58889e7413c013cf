//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["10"] = playStale }

// Times of an outage of the store, and of the change after it.
const (
	staleRounds   = 11
	staleOutage   = 4400 * time.Millisecond
	staleChange   = 100 * time.Millisecond
	staleInterval = 25 * time.Millisecond
	staleWatch    = 5 * time.Second
	stalePause    = time.Second
	// staleMargin is left for the clocks of the check.
	staleMargin = 30 * time.Millisecond
)

// staleCase notes the keys with which servers ran requests.
type staleCase struct {
	*rig
	mu   sync.Mutex
	runs map[string]bool
	// stale counts the requests that were run with a withdrawn key, against the rule.
	stale int
}

// playStale lets the store be silent for some seconds, and withdraws a key after its return.
func playStale(r *rig) (bool, error) {
	s := &staleCase{rig: r, runs: make(map[string]bool)}
	zones := []string{"kirtipur", "lalitpur", "thimi"}
	for i, zone := range zones {
		if _, err := r.startServer(fmt.Sprintf("i-book-%d", i), "yard-book", zone, "", 6, s.serve); err != nil {
			return false, err
		}
	}
	route := routeConfig{"unsafe", "/hold/", "yard-book", 1000, 1}
	r.configure(1, []string{apiKey, "key-1"}, route)
	r.ownViews = true
	if err := r.startDaemons(zones...); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	for round := 1; round <= staleRounds; round++ {
		r.setSilent(r.trouble)
		r.logf("round %d: the store gives no answers: %v", round, r.trouble)
		time.Sleep(staleOutage)
		r.setSilent(false)
		back := time.Now()
		time.Sleep(staleChange)
		r.configure(round+1, []string{apiKey, fmt.Sprintf("key-%d", round+1)}, route)
		acknowledged := time.Now()
		r.logf("round %d: the store answers again; version %d, which withdraws key-%d, is acknowledged %s later", round, round+1, round, acknowledged.Sub(back).Round(time.Millisecond))
		var consumers sync.WaitGroup
		for _, d := range r.daemons {
			consumers.Go(func() { s.useWithdrawnKey(d, round, back, acknowledged) })
		}
		consumers.Wait()
		time.Sleep(stalePause)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r.logf("requests with a withdrawn key that ran, sent by consumers later than %s after the acknowledgement and %s after the outage: %d, none allowed", configWithin, stableWindow, s.stale)
	return s.stale > 0, nil
}

// setSilent sets whether the store answers the daemons.
func (r *rig) setSilent(silent bool) {
	for _, d := range r.daemons {
		d.view.silent.Store(silent)
	}
}

// useWithdrawnKey sends requests with the key that the round has withdrawn, and counts those that run
// although the machine is in touch and the bound has passed.
func (s *staleCase) useWithdrawnKey(d *daemon, round int, back, acknowledged time.Time) {
	for n := 0; time.Since(back) < staleWatch; n++ {
		c := &call{id: fmt.Sprintf("hold-%d-%s-%03d", round, d.name, n), path: "/hold/2f", body: fmt.Sprintf(`{"chest":"%d.%d"}`, round, n), deadline: time.Second, key: fmt.Sprintf("key-%d", round)}
		sent := time.Now()
		answer := d.sendOnce(c)
		sinceAck, sinceBack := sent.Sub(acknowledged), sent.Sub(back)
		s.mu.Lock()
		isStale := s.runs[c.id] && sinceAck > configWithin+staleMargin && sinceBack > stableWindow+staleMargin
		if isStale {
			s.stale++
		}
		s.mu.Unlock()
		s.logf("%s: status %d; sent %s after the acknowledgement, %s after the outage; against the rule: %v", c.id, answer.status, sinceAck.Round(time.Millisecond), sinceBack.Round(time.Millisecond), isStale)
		if answer.status == http.StatusUnauthorized && sinceBack > stableWindow {
			return
		}
		time.Sleep(staleInterval)
	}
}

// serve runs a request.
func (s *staleCase) serve(x *exchange) {
	s.mu.Lock()
	s.runs[x.id] = true
	s.mu.Unlock()
	time.Sleep(15 * time.Millisecond)
	x.answer(http.StatusOK, []string{x.stamp()}, x.id)
}
