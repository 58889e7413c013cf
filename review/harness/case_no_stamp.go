package main

import (
	"net/http"
	"time"
)

func init() { testCases["no-stamp"] = playNoStamp }

// playNoStamp has servers that send, in place of a few answers, bytes that are no answer in the
// protocol. The rule is broken if a caller gets a success without the signature of a server.
func playNoStamp(c *cluster, trouble bool) (bool, error) {
	const (
		length   = 30 * time.Second
		interval = 50 * time.Millisecond
		share    = 0.03
	)
	c.configure(1, route{name: "hold", kind: "unsafe", service: plainName, attempts: 1, timeout: time.Second})
	daemons, servers, err := addZones(c, "kirtipur", "lalitpur")
	if err != nil {
		return false, err
	}
	if trouble {
		for _, faulty := range servers[:len(servers)/2] {
			faulty.spoiled = share
		}
	}
	c.clock.Sleep(stableWindow)
	requests := c.startTraffic("hold", "/hold/1", interval, daemons...)
	c.clock.Sleep(length)
	requests.stop()
	return requests.recordUnsigned() > 0, nil
}

// recordUnsigned records and counts the successes without the signature of a server.
func (t *traffic) recordUnsigned() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := 0
	for id, r := range t.sent {
		switch {
		case r.received.stamp != "":
		case r.received.status == http.StatusOK:
			count++
			t.cluster.record.printf("MIXED: %s got a success without signature from %s: %q", id, r.daemon, r.received.body)
		case r.received.body == "Unavailable":
			t.cluster.record.printf("REFUSED (not judged here): %s ran and got status %d from %s", id, r.received.status, r.daemon)
		}
	}
	return count
}
