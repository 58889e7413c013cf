package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The requests are far below the limits of the configuration: a head of 16,384 bytes and a body of 4 MiB.
const (
	longID       = 4500
	shortID      = 16
	longRequests = 8
	longInterval = 1500 * time.Millisecond
)

// playLongID sends one request after the other, each of which is inside the limits and the only one that
// the deployment has, and counts those that a server has run and whose callers did not get its answer.
func playLongID(recordPath string, trouble bool) (int, error) {
	l, err := newLab(recordPath, options{daemons: 2, memory: 284, files: 4100, plainServers: 3})
	if err != nil {
		return cantRun, err
	}
	defer l.close()
	if err := l.waitServing(); err != nil {
		return cantRun, err
	}
	size := longID
	if !trouble {
		size = shortID
	}
	unanswered := 0
	paths := [...]string{"/check/lot", "/hold/lot"}
	for n := range longRequests {
		id := fmt.Sprintf("%04d", n) + strings.Repeat("f", size-4)
		a := l.send(l.daemons[n%len(l.daemons)], request{id: id, path: paths[n/2%len(paths)], body: "chest"})
		ran := len(l.arrived(func(a arrival) bool { return a.id == id }))
		if ran > 0 && a.status != http.StatusOK {
			unanswered++
			l.line("BROKEN request %d with a Request-Id of %d bytes ran %d times, its caller got %s", n, size, ran, a)
		}
		time.Sleep(longInterval)
	}
	l.line("%d requests in calm, %d ran and were not answered by the server", longRequests, unanswered)
	if unanswered > 0 {
		return broken, nil
	}
	return held, nil
}
