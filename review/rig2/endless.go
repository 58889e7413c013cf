//go:build review2

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = playEndless }

// endlessCase has servers that send bytes without end.
type endlessCase struct {
	*rig
	faulty map[string]bool
	// isFaulty says that the faulty servers are in trouble now.
	isFaulty atomic.Bool
	endless  atomic.Int64

	mu sync.Mutex
	// running has the requests that sound servers have begun to run, by id.
	running map[string]bool
	lost    []string
}

const (
	endlessConsumers = 140
	stockConsumers   = 48
	endlessRate      = 1 << 20
	endlessLength    = 30 * time.Second
)

// playEndless lets the heads of half of the replicas fail requests with an error whose body has no end.
func playEndless(r *rig) (bool, error) {
	e := &endlessCase{rig: r, faulty: make(map[string]bool), running: make(map[string]bool)}
	for i := range 18 {
		zone := []string{"kirtipur", "lalitpur", "thimi"}[i/6]
		if _, err := r.startServer(fmt.Sprintf("i-llm-%02d", i), "chest-llm", zone, "d-"+zone, modelSlots, e.serve); err != nil {
			return false, err
		}
	}
	for i, zone := range []string{"kirtipur", "lalitpur", "thimi"} {
		if _, err := r.startServer(fmt.Sprintf("i-book-%d", i), "yard-book", zone, "", 6, e.serveStock); err != nil {
			return false, err
		}
	}
	r.configure(1, []string{apiKey}, routeConfig{"stream", "/reply/", "chest-llm", 8000, 2}, routeConfig{"safe", "/stock/", "yard-book", 4000, 2})
	if err := r.startDaemons("kirtipur", "lalitpur", "thimi"); err != nil {
		return false, err
	}
	if err := r.eventually("6 replicas serve", 20*time.Second, func() bool { return len(r.openHeads()) == 6 }); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var all tally
	var consumers sync.WaitGroup
	stop := make(chan struct{})
	for n := range endlessConsumers {
		consumers.Go(func() { e.consume(n, stop, &all, e.replyCall) })
	}
	for n := range stockConsumers {
		consumers.Go(func() { e.consume(n, stop, &all, e.stockCall) })
	}
	time.Sleep(3 * time.Second)
	heads := r.openHeads()
	for _, s := range heads[:len(heads)/2] {
		e.faulty[s.id] = true
		r.logf("server %s, head of %s, is the one in trouble", s.id, s.group.Name)
	}
	e.isFaulty.Store(r.trouble)
	peak, kills := e.watchMemory(endlessLength)
	close(stop)
	consumers.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	r.logf("peak %.0f MB of %d, processes killed for it: %d; answers without end: %d; what consumers got: %s", peak, memoryMB, kills, e.endless.Load(), &all)
	r.logf("requests that a sound server ran, and whose kept channel was closed without any answer: %d, 3 allowed", len(e.lost))
	return len(e.lost) > 3, nil
}

// openHeads returns the heads of the replicas that serve.
func (r *rig) openHeads() []*server {
	var heads []*server
	for _, s := range r.servers {
		if s.isOpenHead() {
			heads = append(heads, s)
		}
	}
	return heads
}

// watchMemory does what the platform does: it kills a process that exceeds its memory, and starts it again
// after a short delay. It returns the peak and the number of kills.
func (e *endlessCase) watchMemory(length time.Duration) (peak float64, kills int) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, d := range e.daemons {
			resident := d.residentMB()
			if resident > peak+20 {
				e.logf("%s holds %.0f MB", d.name, resident)
			}
			peak = max(peak, resident)
			if resident <= memoryMB {
				continue
			}
			kills++
			e.logf("%s holds %.0f MB, more than %d: the platform kills it", d.name, resident, memoryMB)
			d.kill()
			time.Sleep(300 * time.Millisecond)
			if d.start() != nil {
				return peak, kills
			}
		}
	}
	return peak, kills
}

// replyCall returns the nth request of a consumer of the model service.
func (e *endlessCase) replyCall(consumer, n int) (*call, time.Duration) {
	return &call{
		id: fmt.Sprintf("reply-%03d-%03d", consumer, n), path: "/reply/2f", body: fmt.Sprintf(`{"chest":%d}`, n), deadline: 8 * time.Second,
		fields: []string{"Model: m", "Token-Count: 700,200", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:40,%x:660", consumer*1000+n)},
	}, 0
}

// stockCall returns the nth request of a consumer of the ledger, and the time until the next one.
func (e *endlessCase) stockCall(consumer, n int) (*call, time.Duration) {
	return &call{id: fmt.Sprintf("stock-%03d-%03d", consumer, n), path: "/stock/2f", body: fmt.Sprintf(`{"chest":"%d.%d"}`, consumer, n), deadline: 4 * time.Second}, 200 * time.Millisecond
}

// consume sends one request after the other on a kept channel.
func (e *endlessCase) consume(consumer int, stop <-chan struct{}, t *tally, next func(consumer, n int) (*call, time.Duration)) {
	// The platform chooses a daemon by a hash of the consumer, so the shares are uneven.
	d := e.daemons[[...]int{0, 0, 0, 1, 0, 0, 0, 2}[consumer%8]]
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
		request, pause := next(consumer, n)
		answer := c.send(request)
		t.add(answer)
		e.logf("%s at %s: status %d, %v", request.id, d.name, answer.status, answer.err)
		if answer.err != nil {
			e.recordLoss(request.id, answer)
			_ = c.Close()
			c = nil
		} else if answer.status != http.StatusOK {
			pause = 300 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// recordLoss records a channel that was closed without any answer, while a sound server ran the request.
func (e *endlessCase) recordLoss(id string, answer result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if answer.status == 0 && e.running[id] {
		e.lost = append(e.lost, id)
		e.logf("%s: the channel ends without an answer (%v); a sound server had run it", id, answer.err)
	}
}

// serve streams an answer, or fails the request with bytes that have no end.
func (e *endlessCase) serve(x *exchange) {
	if e.isFaulty.Load() && e.faulty[x.server.id] {
		e.sendWithoutEnd(x)
		return
	}
	e.mu.Lock()
	e.running[x.id] = true
	e.mu.Unlock()
	e.logf("%s runs at %s", x.id, x.server.id)
	const events, first, interval = 25, 200 * time.Millisecond, 40 * time.Millisecond
	time.Sleep(first)
	fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", x.id, x.stamp())
	for n := 1; n <= events; n++ {
		time.Sleep(interval)
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, x.id, n)
		if _, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			break
		}
	}
	_, _ = x.conn.Write([]byte("0\r\n\r\n"))
}

// serveStock answers a request of the ledger after its work.
func (e *endlessCase) serveStock(x *exchange) {
	e.mu.Lock()
	e.running[x.id] = true
	e.mu.Unlock()
	e.logf("%s runs at %s", x.id, x.server.id)
	time.Sleep(60 * time.Millisecond)
	x.answer(http.StatusOK, []string{x.stamp()}, x.id)
}

// sendWithoutEnd sends an error whose body has no end, until the caller closes.
func (e *endlessCase) sendWithoutEnd(x *exchange) {
	e.endless.Add(1)
	e.logf("%s fails at %s, with a body that has no end", x.id, x.server.id)
	fmt.Fprintf(x.conn, "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: %s\r\n%s\r\nContent-Type: text/plain\r\n\r\n", x.id, x.stamp())
	piece := bytes.Repeat([]byte("x"), endlessRate/50)
	for {
		if _, err := x.conn.Write(piece); err != nil {
			return
		}
		time.Sleep(time.Second / 50)
	}
}
