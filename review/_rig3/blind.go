package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"
)

// Another writer writes entries that can't be read. Each has the largest size that the store takes.
const (
	oddEntryCount = 9
	oddEntryBytes = 1 << 20
	beforeBlind   = 2 * time.Second
	betweenWrites = 500 * time.Millisecond
	configTime    = 2 * time.Second
	drainTime     = 2 * time.Second
	afterConfig   = 30 * time.Second
	revokedGap    = 100 * time.Millisecond
)

// playBlind counts the requests that run with a key that the configuration has dropped more than configTime
// before they were sent, and those that reach a server more than drainTime after it began to drain.
func playBlind(recordPath string, trouble bool) (int, error) {
	l, err := newLab(recordPath, options{daemons: 6, memory: 284, files: 4100, plainServers: 3})
	if err != nil {
		return cantRun, err
	}
	defer l.close()
	if err := l.waitServing(); err != nil {
		return cantRun, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	sentAt := make(map[string]time.Time)
	var clients sync.WaitGroup
	clients.Go(func() {
		var running sync.WaitGroup
		for n := 0; ctx.Err() == nil; n++ {
			key := [...]string{"key-a", "key-b"}[n%2]
			id := fmt.Sprintf("%s-%d", key, n)
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			running.Go(func() {
				l.send(l.daemons[n/2%len(l.daemons)], request{id: id, path: "/hold/lot", key: key, body: "chest"})
			})
			sleep(ctx, revokedGap/2)
		}
		running.Wait()
	})
	time.Sleep(beforeBlind)
	if trouble {
		for i := range oddEntryCount {
			entry := make([]byte, oddEntryBytes)
			if _, err := rand.Read(entry); err != nil {
				return cantRun, err
			}
			l.store.PutBytes(fmt.Sprintf("servers/odd-%d", i), entry)
		}
		l.line("another writer has written %d entries of %d bytes that can't be read", oddEntryCount, oddEntryBytes)
	}
	time.Sleep(betweenWrites)
	l.configure("key-b")
	acceptedAt := time.Now()
	l.line("the store has accepted version %d, which drops key-a", l.version)
	leaving := l.plain[0]
	leaving.drain()
	l.line("the store has accepted that server %s drains", leaving.id)
	time.Sleep(afterConfig)
	cancel()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	revoked, late, last := 0, 0, time.Duration(0)
	for _, a := range l.arrived(func(arrival) bool { return true }) {
		at, isClient := sentAt[a.id]
		if !isClient || at.Before(acceptedAt.Add(configTime)) {
			continue
		}
		if a.id[:len("key-a")] == "key-a" {
			revoked++
			last = max(last, at.Sub(acceptedAt))
		}
		if a.server == leaving.id {
			late++
		}
	}
	l.line("requests sent later than %s after that: %d with the dropped key ran, the last one %.1f s after; %d reached the draining server; allowed 0", configTime, revoked, last.Seconds(), late)
	if revoked > 0 {
		return broken, nil
	}
	return held, nil
}
