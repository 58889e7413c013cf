//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["9"] = playPoison }

const poisonBody = `{"chest":"that crashes the ledger"}`

// poisonCase counts what a request that crashes servers does.
type poisonCase struct {
	*rig
	mu       sync.Mutex
	crashes  int
	thirdAt  time.Time
	counted  int
	restarts int
}

// playPoison lets a request that crashes servers come again and again, and kills all daemons twice.
func playPoison(r *rig) (bool, error) {
	p := &poisonCase{rig: r}
	for i, zone := range []string{"kirtipur", "lalitpur", "thimi", "kirtipur", "lalitpur", "thimi"} {
		if _, err := r.startServer(fmt.Sprintf("i-book-%d", i), "yard-book", zone, "", 6, p.serve); err != nil {
			return false, err
		}
	}
	r.configure(1, []string{apiKey}, routeConfig{"safe", "/stock/", "yard-book", 1000, 2})
	if err := r.startDaemons("kirtipur", "lalitpur", "thimi"); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	var sound tally
	go p.soundTraffic(&sound)
	const (
		quick, slow = time.Second, 4 * time.Second
		length      = 55 * time.Second
		killEvery   = 20 * time.Second
		firstKill   = 10 * time.Second
		kills       = 2
	)
	began, killed := time.Now(), 0
	for n := 0; time.Since(began) < length; n++ {
		d := r.daemons[n%len(r.daemons)]
		c := &call{id: fmt.Sprintf("poison-%03d", n), path: "/stock/2f", body: poisonBody, deadline: time.Second}
		answer := d.sendOnce(c)
		r.logf("%s at %s: status %d, error %v", c.id, d.name, answer.status, answer.err)
		if r.trouble && killed < kills && time.Since(began) >= firstKill+time.Duration(killed)*killEvery {
			killed++
			if err := r.killAll(); err != nil {
				return false, err
			}
		}
		if time.Since(began) < firstKill/2 {
			time.Sleep(quick)
		} else {
			time.Sleep(slow)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r.logf("%d crashes, third one at %.3f; %d arrivals later than %s after it from machines in touch, 3 allowed", p.crashes, p.thirdAt.Sub(r.began).Seconds(), p.counted, stableWindow)
	r.logf("sound requests: %s", &sound)
	return p.counted > 3, nil
}

// killAll kills all daemons at once; the platform starts them again after a short delay.
func (r *rig) killAll() error {
	r.logf("all daemons are killed at the same moment")
	var all sync.WaitGroup
	for _, d := range r.daemons {
		all.Go(d.kill)
	}
	all.Wait()
	time.Sleep(300 * time.Millisecond)
	for _, d := range r.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	return nil
}

// serve answers a request, or crashes the server as it begins to run one that crashes it. The server is
// back after some seconds, as a new instance.
func (p *poisonCase) serve(x *exchange) {
	if string(x.body) != poisonBody {
		p.logf("%s runs at %s", x.id, x.server.id)
		time.Sleep(15 * time.Millisecond)
		x.answer(http.StatusOK, []string{x.stamp()}, x.id)
		return
	}
	p.mu.Lock()
	p.crashes++
	sender := p.senderOf(x.id)
	counts := p.crashes > 3 && time.Since(p.thirdAt) > stableWindow && sender.inTouch(time.Now())
	if p.crashes == 3 {
		p.thirdAt = time.Now()
	}
	if counts {
		p.counted++
	}
	p.restarts++
	next := fmt.Sprintf("i-again-%d", p.restarts)
	p.mu.Unlock()
	p.logf("%s reaches %s and crashes it: counted %v", x.id, x.server.id, counts)
	s := x.server
	s.crash()
	time.AfterFunc(3*time.Second, func() {
		select {
		case <-p.stop:
		default:
			_, _ = p.startServer(next, s.service, s.zone, "", s.slots, p.serve)
		}
	})
}

// senderOf returns the daemon that got the request of the poison caller.
func (p *poisonCase) senderOf(id string) *daemon {
	var n int
	_, _ = fmt.Sscanf(id, "poison-%d", &n)
	return p.daemons[n%len(p.daemons)]
}

// soundTraffic sends sound requests, no two alike, to all daemons in turn.
func (p *poisonCase) soundTraffic(t *tally) {
	for n := 0; ; n++ {
		select {
		case <-p.stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		d := p.daemons[n%len(p.daemons)]
		go func() {
			c := &call{id: fmt.Sprintf("sound-%04d", n), path: "/stock/2f", body: fmt.Sprintf(`{"chest":%d}`, n), deadline: time.Second}
			answer := d.sendOnce(c)
			p.logf("%s at %s: status %d", c.id, d.name, answer.status)
			t.add(answer)
		}()
	}
}
