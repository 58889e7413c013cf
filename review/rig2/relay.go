//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["relay"] = playRelay }

// Doses of the disruptions, and the traffic.
const (
	lostShare     = 0.6
	lostAnswers   = 0.4
	lostTime      = 4 * time.Second
	relayServers  = 5
	relayModels   = 9
	relayAttempts = 2
	relayInterval = 12500 * time.Microsecond
	relayWindows  = 11
	relayPause    = 3500 * time.Millisecond
	relayAllowed  = 3
	relayIdle     = 100 * time.Millisecond
)

// relayCase notes on which servers requests run.
type relayCase struct {
	*rig
	losing atomic.Bool

	mu   sync.Mutex
	runs map[string]map[string]bool
}

// playRelay isn't among the five cases; REPORT-2.md has its results. It cuts one daemon off from all servers, while servers lose some of their answers.
func playRelay(r *rig) (bool, error) {
	c := &relayCase{rig: r, runs: make(map[string]map[string]bool)}
	zones := []string{"kirtipur", "lalitpur", "thimi"}
	for i := range relayServers {
		if _, err := r.startServer(fmt.Sprintf("i-book-%d", i), "yard-book", zones[i%len(zones)], "", 6, c.serve); err != nil {
			return false, err
		}
	}
	for i := range relayModels {
		zone := zones[i%len(zones)]
		if _, err := r.startServer(fmt.Sprintf("i-llm-%02d", i), "chest-llm", zone, "d-"+zone, modelSlots, c.serve); err != nil {
			return false, err
		}
	}
	r.configure(1, []string{apiKey}, routeConfig{"safe", "/stock/", "yard-book", 4000, relayAttempts})
	r.ownViews = true
	if err := r.startDaemons(zones...); err != nil {
		return false, err
	}
	// The first window of the retry budget has no base retries.
	time.Sleep(11 * time.Second)
	if r.trouble {
		r.daemons[0].view.cut()
		r.logf("%s is cut off from all servers: its channels are reset, and new ones are refused", r.daemons[0].name)
	}
	time.Sleep(stableWindow)
	var all tally
	var consumers sync.WaitGroup
	for window := range relayWindows {
		c.losing.Store(r.trouble)
		r.logf("window %d: %.0f%% of the servers lose %.0f%% of their answers", window, lostShare*100, lostAnswers*100)
		for n := 0; n < int(lostTime/relayInterval); n++ {
			consumers.Go(func() {
				request := &call{id: fmt.Sprintf("stock-%d-%03d", window, n), path: "/stock/2f", body: fmt.Sprintf(`{"chest":"%d.%d"}`, window, n), deadline: 4 * time.Second}
				answer := r.daemons[0].sendOnce(request)
				r.logf("%s at %s: status %d", request.id, r.daemons[0].name, answer.status)
				all.add(answer)
			})
			time.Sleep(relayInterval)
		}
		c.losing.Store(false)
		consumers.Wait()
		time.Sleep(relayPause)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	over := 0
	for id, servers := range c.runs {
		if len(servers) > relayAttempts {
			over++
			r.logf("%s ran on %d servers, the route's attempts are %d", id, len(servers), relayAttempts)
		}
	}
	r.logf("what consumers got: %s", &all)
	r.logf("requests that ran on more servers than their route's attempts: %d of %d, %d allowed", over, len(c.runs), relayAllowed)
	return over > relayAllowed, nil
}

// serve runs a request, and loses the answer of some by a reset.
func (c *relayCase) serve(x *exchange) {
	c.mu.Lock()
	if c.runs[x.id] == nil {
		c.runs[x.id] = make(map[string]bool)
	}
	c.runs[x.id][x.server.id] = true
	c.mu.Unlock()
	time.Sleep(15 * time.Millisecond)
	var index int
	_, _ = fmt.Sscanf(x.server.id, "i-book-%d", &index)
	isLost := c.losing.Load() && float64(index) < lostShare*relayServers && rand.Float64() < lostAnswers
	c.logf("%s runs at %s, answer lost: %v", x.id, x.server.id, isLost)
	if !isLost {
		x.answer(http.StatusOK, []string{x.stamp()}, x.id)
		// An idle channel is closed soon.
		_ = x.conn.SetReadDeadline(time.Now().Add(relayIdle))
		return
	}
	if tcp, ok := x.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = x.conn.Close()
}
