package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Bounds of the sheets.
const (
	// stableWindow is the time after a disturbance of a daemon for which it isn't in touch.
	stableWindow = 3 * time.Second
	// drainTime is the time after the end of a server's entry from which the server gets no
	// requests.
	drainTime = 2 * time.Second
	// evacuationTime is the time after an evacuation from which the zone gets no requests.
	evacuationTime = 5 * time.Second
)

// traffic sends requests to daemons until it is stopped.
type traffic struct {
	cluster *cluster
	// body is the body of all requests. If it is empty, each has its id as the body.
	body    string
	stopped chan struct{}
	running sync.WaitGroup

	stopOnce sync.Once
	mu       sync.Mutex
	sent     map[string]sentRequest
}

// sentRequest is a request of the traffic.
type sentRequest struct {
	at       time.Time
	daemon   string
	received answer
}

// startTraffic sends requests with different bodies to each daemon, one in each interval.
func (c *cluster) startTraffic(name, path string, interval time.Duration, daemons ...*daemon) *traffic {
	return c.startRepeats(name, path, "", interval, daemons...)
}

// startRepeats sends requests with the same body, unless it is empty, to each daemon.
func (c *cluster) startRepeats(name, path, body string, interval time.Duration, daemons ...*daemon) *traffic {
	t := &traffic{cluster: c, body: body, stopped: make(chan struct{}), sent: make(map[string]sentRequest)}
	for _, d := range daemons {
		t.running.Go(func() { t.send(d, name, path, interval) })
	}
	return t
}

func (t *traffic) send(d *daemon, name, path string, interval time.Duration) {
	const budget = time.Second
	clk := t.cluster.clock
	// Callers don't send at the same moment.
	clk.Sleep(rand.N(interval))
	for n := 0; ; n++ {
		select {
		case <-t.stopped:
			return
		case <-clk.After(interval):
		}
		t.running.Go(func() {
			id, at := fmt.Sprintf("%s-%s-%d", name, d.name, n), clk.Now()
			t.note(id, sentRequest{at: at, daemon: d.name})
			body := t.body
			if body == "" {
				body = id
			}
			received := t.cluster.sendOnce(d, id, path, body, budget)
			t.note(id, sentRequest{at: at, daemon: d.name, received: received})
		})
	}
}

func (t *traffic) note(id string, r sentRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[id] = r
}

// of returns the request with the id, and false if the traffic has not sent it.
func (t *traffic) of(id string) (sentRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, found := t.sent[id]
	return r, found
}

// recordLost records the requests, sent after the time, that got no server's answer.
func (t *traffic) recordLost(after time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.sent {
		if r.at.After(after) && r.received.status != http.StatusOK {
			t.cluster.record.printf("no answer of a server: %s, sent to %s: %s", id, r.daemon, r.received)
		}
	}
}

// stop ends the traffic and waits for the answers.
func (t *traffic) stop() {
	t.stopOnce.Do(func() { close(t.stopped) })
	t.running.Wait()
}
