//go:build review2

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["8"] = playGone }

// Numbers and times of the consumers that leave.
const (
	goneConsumers  = 120
	goneLeaving    = goneConsumers / 5
	gonePatience   = 300 * time.Millisecond
	goneSilence    = 1200 * time.Millisecond
	goneAllowed    = 500 * time.Millisecond
	goneFew        = 3
	goneWorkOfBook = 15 * time.Millisecond
)

// goneCase notes when consumers have closed their channels.
type goneCase struct {
	*rig
	silentUntil time.Time

	mu       sync.Mutex
	closedAt map[string]time.Time
	late     int
	lateHold int
}

// playGone lets a fifth of the consumers close channels on which they have sent several requests ahead.
func playGone(r *rig) (bool, error) {
	g := &goneCase{rig: r, closedAt: make(map[string]time.Time)}
	zones := []string{"kirtipur", "lalitpur", "thimi"}
	for i, zone := range zones {
		if _, err := r.startServer(fmt.Sprintf("i-book-%d", i), "yard-book", zone, "", 6, g.serve); err != nil {
			return false, err
		}
	}
	r.configure(1, []string{apiKey}, routeConfig{"safe", "/stock/", "yard-book", 4000, 2}, routeConfig{"unsafe", "/hold/", "yard-book", 4000, 1})
	if err := r.startDaemons(zones...); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + time.Second)
	var staying tally
	var consumers sync.WaitGroup
	const rounds, interval = 3, 4 * time.Second
	for round := range rounds {
		g.mu.Lock()
		g.silentUntil = time.Now().Add(goneSilence)
		g.mu.Unlock()
		r.logf("round %d: the servers are silent for %s", round, goneSilence)
		for n := range goneLeaving {
			consumers.Go(func() { g.sendAhead(round, n) })
		}
		for n := range goneConsumers - goneLeaving {
			consumers.Go(func() {
				time.Sleep(time.Duration(n) * interval / (goneConsumers - goneLeaving))
				c := &call{id: fmt.Sprintf("stay-%d-%02d", round, n), path: "/stock/2f", body: fmt.Sprintf(`{"chest":"s%d.%d"}`, round, n), deadline: 4 * time.Second}
				answer := r.daemons[n%len(r.daemons)].sendOnce(c)
				r.logf("%s: status %d", c.id, answer.status)
				staying.add(answer)
			})
		}
		time.Sleep(interval)
	}
	consumers.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	r.logf("what the staying consumers got: %s", &staying)
	r.logf("requests that reached a server over %s after their consumer had closed the channel: %d, %d of them unsafe; a few (%d) allowed", goneAllowed, g.late, g.lateHold, goneFew)
	return g.late > goneFew, nil
}

// sendAhead sends a safe request and two unsafe ones on one channel, and closes it after a while or reads
// the answers.
func (g *goneCase) sendAhead(round, n int) {
	d := g.daemons[n%len(g.daemons)]
	c, err := openChannel(d)
	if err != nil {
		g.logf("consumer %d: %v", n, err)
		return
	}
	var calls []*call
	var bytesAhead string
	for i, path := range []string{"/stock/2f", "/hold/2f", "/hold/2f"} {
		ahead := &call{id: fmt.Sprintf("ahead-%d-%02d-%d", round, n, i), path: path, body: fmt.Sprintf(`{"chest":"%d.%d.%d"}`, round, n, i), deadline: 4 * time.Second}
		calls, bytesAhead = append(calls, ahead), bytesAhead+ahead.encode()
	}
	_, _ = io.WriteString(c, bytesAhead)
	if !g.trouble {
		_ = c.SetDeadline(time.Now().Add(8 * time.Second))
		for _, ahead := range calls {
			g.logf("%s: status %d", ahead.id, c.read().status)
		}
		_ = c.Close()
		return
	}
	time.Sleep(gonePatience)
	g.mu.Lock()
	for _, ahead := range calls {
		g.closedAt[ahead.id] = time.Now()
	}
	g.mu.Unlock()
	_ = c.Close()
	g.logf("consumer %d of round %d closes its channel, with %d requests sent ahead and no answer read", n, round, len(calls))
}

// serve answers a request after the servers' silence and its work.
func (g *goneCase) serve(x *exchange) {
	g.mu.Lock()
	closedAt, isClosed := g.closedAt[x.id]
	if since := x.at.Sub(closedAt); isClosed && since > goneAllowed {
		g.late++
		if x.request.URL.Path == "/hold/2f" {
			g.lateHold++
		}
		g.logf("%s reaches %s %s after its consumer has closed the channel", x.id, x.server.id, since.Round(time.Millisecond))
	}
	silence := time.Until(g.silentUntil)
	g.mu.Unlock()
	g.logf("%s runs at %s", x.id, x.server.id)
	time.Sleep(max(silence, 0) + goneWorkOfBook)
	x.answer(http.StatusOK, []string{x.stamp()}, x.id)
}
