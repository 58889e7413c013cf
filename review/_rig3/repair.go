package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cuminbay/platform/standin"
)

// Another writer writes one entry. Later all daemons are killed, which is the final fault, and some seconds
// after their start model servers crash for good, two at a time.
const (
	beforeEntry    = 3 * time.Second
	beforeFinal    = 5 * time.Second
	finalDown      = 850 * time.Millisecond
	crashesAtOnce  = 2
	crashRounds    = 2
	beforeCrash    = 1500 * time.Millisecond
	recoverTime    = 12 * time.Second
	afterRecovery  = 12 * time.Second
	repairGap      = 60 * time.Millisecond
	streamsOfTen   = 9
	servedQuarter  = 0.25
	oddEntryServer = "servers/inventory"
)

// tally counts the requests of a span of time and those that were served.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if a.status == http.StatusOK && a.complete {
		t.served++
	}
}

func (t *tally) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.served) / float64(max(t.sent, 1))
}

// playRepair compares the share of requests that are served before the final fault and from recoverTime
// after the machines are back. Nine of ten requests are streams.
func playRepair(recordPath string, trouble bool) (int, error) {
	l, err := newLab(recordPath, options{daemons: 3, memory: 284, files: 4100, plainServers: 3, models: true, bootstrap: true})
	if err != nil {
		return cantRun, err
	}
	defer l.close()
	if err := l.waitServing(); err != nil {
		return cantRun, err
	}
	time.Sleep(beforeEntry)
	if trouble {
		entry := map[string]any{"service": "llm", "address": "127.0.0.1:9", "zone": zoneOf(0), "state": "ready", "group": map[string]any{"name": "inventory", "epoch": time.Now().UnixMilli(), "state": "up"}}
		l.line("another writer writes %s: %v", oddEntryServer, entry)
		l.store.Put(oddEntryServer, entry)
	}
	before, after := new(tally), new(tally)
	l.sendMix(beforeFinal, before)
	l.line("served before the final fault: %d of %d", before.served, before.sent)
	for _, d := range l.daemons {
		d.kill()
	}
	time.Sleep(finalDown)
	for _, d := range l.daemons {
		if err := d.launch(); err != nil {
			return cantRun, err
		}
	}
	back := time.Now()
	for range crashRounds {
		time.Sleep(beforeCrash)
		l.crashHeads(crashesAtOnce)
	}
	time.Sleep(recoverTime - time.Since(back))
	l.sendMix(afterRecovery, after)
	l.line("served later than %s after the machines are back: %d of %d, a quarter is needed", recoverTime, after.served, after.sent)
	if before.share() >= servedQuarter && after.share() < servedQuarter {
		return broken, nil
	}
	return held, nil
}

// sendMix sends requests for the time and counts them.
func (l *lab) sendMix(d time.Duration, t *tally) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	var running sync.WaitGroup
	for n := 0; ctx.Err() == nil; n++ {
		path := "/draft/lot"
		if n%10 >= streamsOfTen {
			path = "/check/lot"
		}
		running.Go(func() {
			t.add(l.send(l.daemons[n%len(l.daemons)], request{id: fmt.Sprintf("m%d-%d", d.Milliseconds(), n), path: path, body: "chest"}))
		})
		sleep(ctx, repairGap)
	}
	running.Wait()
}

// crashHeads crashes the heads of some open groups for good.
func (l *lab) crashHeads(count int) {
	var heads []*standin.Server
	for _, s := range l.engines {
		if s.IsOpenHead() {
			heads = append(heads, s)
		}
	}
	for _, s := range heads[:min(count, len(heads))] {
		l.line("model server %s, the head of an open group, crashes for good; %d groups were open", s.ID, len(heads))
		s.Crash()
		delete(l.engines, s.ID)
	}
}
