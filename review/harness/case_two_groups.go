package main

import (
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"
)

func init() { testCases["two-groups"] = playTwoGroups }

// playTwoGroups has the planner repair a group while the store is away, and all daemons killed
// before the store is back. The rule is broken if a server is joined to another group while the
// head of its own is open.
func playTwoGroups(c *cluster, trouble bool) (bool, error) {
	const (
		domain = "domain-1"
		// In this time no server that is alive is silent for three heartbeats.
		outage      = 2350 * time.Millisecond
		settle      = 5 * time.Second
		betweenLoss = 900 * time.Millisecond
		killBefore  = 100 * time.Millisecond
		observation = 3 * time.Second
	)
	f, daemons, err := startFleet(c, domain)
	if err != nil {
		return false, err
	}
	streams := c.startTraffic("draft", "/draft/1", 40*time.Millisecond, daemons...)
	defer streams.stop()
	c.clock.Sleep(settle)
	names := slices.Sorted(maps.Keys(f.groups(domain)))
	if len(names) != 2 {
		return false, fmt.Errorf("%d groups are open, expected 2", len(names))
	}
	first, second := f.groups(domain)[names[0]], f.groups(domain)[names[1]]
	f.waitForSpare(domain, outage)
	start := c.clock.Now()
	if trouble {
		c.record.printf("store: away for %s", outage)
		f.storeAway.Store(true)
		c.store.SetUnavailable(true)
	}
	f.crash(second[0])
	c.clock.Sleep(betweenLoss)
	f.crash(first[0])
	c.clock.Sleep(start.Add(outage - killBefore).Sub(c.clock.Now()))
	for _, d := range daemons {
		c.record.printf("daemon %s: SIGKILL", d.name)
		_ = d.command.Process.Signal(syscall.SIGKILL)
		<-d.exited
	}
	c.clock.Sleep(start.Add(outage).Sub(c.clock.Now()))
	f.storeAway.Store(false)
	c.store.SetUnavailable(false)
	c.record.printf("store: back")
	for _, d := range daemons {
		if err := c.start(d); err != nil {
			return false, err
		}
	}
	c.clock.Sleep(observation)
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.broken) > 0, nil
}

// startFleet starts two fabric domains, the first one with two groups and a spare server, and two
// daemons, and waits until all groups are open.
func startFleet(c *cluster, domain string) (*fleet, []*daemon, error) {
	const size, withSpare, without = 3, 7, 6
	c.configure(size, route{name: "draft", kind: "stream", service: engineName, attempts: 2, timeout: 8 * time.Second})
	f := newFleet(c)
	for i := range withSpare + without {
		in := domain
		if i >= withSpare {
			in = "domain-2"
		}
		if err := f.add(fmt.Sprintf("i-%02d", i), in); err != nil {
			return nil, nil, err
		}
	}
	daemons, err := c.addDaemons("kirtipur", 2)
	if err != nil {
		return nil, nil, err
	}
	err = c.waitUntil("all groups are open", func() bool { return len(f.groups(domain)) == 2 && len(f.groups("domain-2")) == 2 })
	// After this the system doesn't start for the first time any more.
	for _, d := range daemons {
		d.rewrite(`"bootstrap": true`, `"bootstrap": false`)
	}
	return f, daemons, err
}

// waitForSpare waits until an outage that begins now ends soon after a heartbeat of the domain's
// spare server.
func (f *fleet) waitForSpare(domain string, outage time.Duration) {
	const afterBeat = 100 * time.Millisecond
	f.mu.Lock()
	var next time.Time
	for _, s := range f.servers {
		if s.domain == domain && s.group == nil {
			next = s.nextBeat
		}
	}
	f.mu.Unlock()
	now := f.cluster.clock.Now()
	for next.Add(afterBeat).Sub(now) < outage {
		next = next.Add(heartbeatInterval)
	}
	f.cluster.clock.Sleep(next.Add(afterBeat).Sub(now) - outage)
}
