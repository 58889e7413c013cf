package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// A request of one caller crashes each server that begins to run it. As many consumers as there are daemons
// send it, all at once, and again every two seconds.
const (
	deadlyPath     = "/check/deadly"
	backAfter      = 4 * time.Second
	deadlyInterval = 2 * time.Second
	// allowedRetries is the number of retries that may reach servers from the stable window after the
	// third crash on.
	allowedRetries = 3
	poisonTime     = 70 * time.Second
)

// crashOnDeadly crashes a server that begins to run the deadly request, and counts the crash.
func crashOnDeadly(crashes *atomic.Int64) behaviour {
	return func(s *plainServer, w http.ResponseWriter, r *http.Request, _ []byte) bool {
		if r.URL.Path != deadlyPath {
			return false
		}
		takeOver(w, func(net.Conn) bool {
			crashes.Add(1)
			s.crashFor(backAfter)
			return true
		})
		return true
	}
}

// playPoison counts the retries of a deadly request that reach servers after it has crashed the third.
func playPoison(recordPath string, trouble bool) (int, error) {
	l, err := newLab(recordPath, options{daemons: 6, memory: 284, files: 4100, plainServers: 6})
	if err != nil {
		return cantRun, err
	}
	defer l.close()
	if err := l.waitServing(); err != nil {
		return cantRun, err
	}
	var crashes atomic.Int64
	if trouble {
		for _, s := range l.plain {
			s.setAct(crashOnDeadly(&crashes))
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var ordinary sync.WaitGroup
	ordinary.Go(func() { l.sendOrdinary(ctx) })
	arrivals := func(after time.Time) int {
		return len(l.arrived(func(a arrival) bool { return a.path == deadlyPath && a.at.After(after) }))
	}
	third := time.Time{}
	start := time.Now()
	for round := 0; time.Since(start) < poisonTime; round++ {
		at := time.Now()
		var callers sync.WaitGroup
		for i, d := range l.daemons {
			callers.Go(func() {
				l.send(d, request{id: fmt.Sprintf("deadly-%d-%d", round, i), path: deadlyPath, body: "chest 12"})
			})
		}
		callers.Wait()
		if third.IsZero() && crashes.Load() >= 3 {
			third = time.Now()
			l.line("the request has crashed the third server")
		}
		time.Sleep(deadlyInterval - time.Since(at))
	}
	cancel()
	ordinary.Wait()
	if third.IsZero() {
		l.line("no third crash")
		return held, nil
	}
	late := arrivals(third.Add(stableTime))
	l.line("retries that reached servers later than %s after the third crash: %d, allowed %d", stableTime, late, allowedRetries)
	if late > allowedRetries {
		return broken, nil
	}
	return held, nil
}

// sendOrdinary sends the requests of other callers until the context ends, and records those that got no
// answer although they may have run.
func (l *lab) sendOrdinary(ctx context.Context) {
	var running sync.WaitGroup
	var mu sync.Mutex
	sent, unknown := 0, 0
	for n := 0; ctx.Err() == nil; n++ {
		running.Go(func() {
			a := l.send(l.daemons[n%len(l.daemons)], request{id: fmt.Sprintf("hold-%d", n), path: "/hold/quiet"})
			mu.Lock()
			defer mu.Unlock()
			sent++
			if a.status != http.StatusOK && a.status != http.StatusServiceUnavailable {
				unknown++
			}
		})
		sleep(ctx, 100*time.Millisecond)
	}
	running.Wait()
	l.line("requests of other callers: %d sent, %d ended with an unknown outcome", sent, unknown)
}
