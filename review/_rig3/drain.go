package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// A server drains. Its entry is then also written by another writer, without some of the fields. Each heartbeat
// of the server writes the whole entry again.
const (
	drainTime       = 2 * time.Second
	beforeDrain     = 2 * time.Second
	beforeOddEntry  = 6 * time.Second
	oddEntries      = 6
	oddInterval     = 700 * time.Millisecond
	afterOddEntries = time.Second
	ordinaryGap     = 25 * time.Millisecond
	latenessAllowed = 0
)

// playDrain counts the requests that consumers sent later than drainTime after the store had accepted that
// the server drains, and that reached it.
func playDrain(recordPath string, trouble bool) (int, error) {
	l, err := newLab(recordPath, options{daemons: 3, memory: 284, files: 4100, plainServers: 3})
	if err != nil {
		return cantRun, err
	}
	defer l.close()
	if err := l.waitServing(); err != nil {
		return cantRun, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	clients.Go(func() {
		var running sync.WaitGroup
		paths := [...]string{"/check/lot", "/hold/lot"}
		for n := 0; ctx.Err() == nil; n++ {
			id := fmt.Sprintf("c-%d", n)
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			running.Go(func() {
				l.send(l.daemons[n%len(l.daemons)], request{id: id, path: paths[n%len(paths)], body: "chest"})
			})
			sleep(ctx, ordinaryGap)
		}
		running.Wait()
	})
	time.Sleep(beforeDrain)
	leaving := l.plain[0]
	leaving.drain()
	acceptedAt := time.Now()
	l.line("the store has accepted that server %s drains", leaving.id)
	time.Sleep(beforeOddEntry)
	for range oddEntries {
		if trouble {
			entry := map[string]any{"service": "book", "address": leaving.address, "zone": leaving.zone, "version": "v1", "slots": leaving.slots, "state": "ready"}
			l.line("another writer writes servers/%s: %v", leaving.id, entry)
			l.store.Put("servers/"+leaving.id, entry)
		}
		time.Sleep(oddInterval)
	}
	time.Sleep(afterOddEntries)
	cancel()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, a := range l.arrived(func(a arrival) bool { return a.server == leaving.id }) {
		if at := sentAt[a.id]; at.After(acceptedAt.Add(drainTime)) {
			late++
			l.line("LATE %s reached %s %.3f s after the store had accepted that it drains", a.id, a.server, a.at.Sub(acceptedAt).Seconds())
		}
	}
	l.line("requests sent later than %s after that: %d reached the server, allowed %d", drainTime, late, latenessAllowed)
	if late > latenessAllowed {
		return broken, nil
	}
	return held, nil
}
