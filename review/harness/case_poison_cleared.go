package main

import (
	"fmt"
	"time"
)

func init() { testCases["poison-cleared"] = playPoisonCleared }

// playPoisonCleared replaces the servers of a service by a new version, each of which crashes when it
// begins to run a request that the old version has answered. The rule is broken if the request
// reaches servers more than three times once the time after the third crash has passed.
func playPoisonCleared(c *cluster, trouble bool) (bool, error) {
	const (
		servers  = 6
		interval = time.Second
		repeats  = 20
		allowed  = 3
		work     = 100 * time.Millisecond
		gap      = 500 * time.Millisecond
	)
	c.configure(1,
		route{name: "check", kind: "safe", service: plainName, attempts: 2, timeout: time.Second},
		route{name: "hold", kind: "unsafe", service: plainName, attempts: 1, timeout: time.Second})
	var old []*plainServer
	for i := range servers {
		s, err := c.addServerOf(robustVersion, fmt.Sprintf("old-%d", i), "kirtipur", work)
		if err != nil {
			return false, err
		}
		old = append(old, s)
	}
	daemons, err := c.addDaemons("kirtipur", 2)
	if err != nil {
		return false, err
	}
	c.clock.Sleep(stableWindow)
	p := &poisoner{cluster: c}
	for range daemons {
		p.send(daemons[p.sent%len(daemons)])
	}
	version := usualVersion
	if !trouble {
		version = robustVersion
	}
	for i, s := range old {
		replacement, err := c.addServerOf(version, fmt.Sprintf("new-%d", i), "kirtipur", work)
		if err != nil {
			return false, err
		}
		p.servers = append(p.servers, replacement)
		go s.drain()
		c.clock.Sleep(gap)
	}
	c.clock.Sleep(drainTime + stableWindow)
	start := c.clock.Now()
	sound := c.startTraffic("hold", "/hold/1", 100*time.Millisecond, daemons...)
	for range repeats {
		p.send(daemons[p.sent%len(daemons)])
		c.clock.Sleep(interval)
	}
	sound.stop()
	sound.recordLost(start)
	bound, found := p.thirdArrival(start)
	if !found || !trouble {
		return false, nil
	}
	reached := p.reached(bound.Add(stableWindow))
	c.record.printf("the request reached servers %d times later than %s after the third crash, allowed %d", reached, stableWindow, allowed)
	return reached > allowed, nil
}
