package main

import (
	"fmt"
	"slices"
	"time"
)

func init() { testCases["poison"] = playPoison }

// playPoison sends a request that crashes each server that begins to run it, again and again, and
// restarts the daemons in turn as planned. The rule is broken if it reaches servers more than three
// times, sent by daemons in touch, once the time after the third crash has passed.
func playPoison(c *cluster, trouble bool) (bool, error) {
	const (
		servers  = 6
		interval = 500 * time.Millisecond
		repeats  = 8
		allowed  = 3
	)
	c.configure(1,
		route{name: "check", kind: "safe", service: plainName, attempts: 2, timeout: time.Second},
		route{name: "hold", kind: "unsafe", service: plainName, attempts: 1, timeout: time.Second})
	var plain []*plainServer
	for i := range servers {
		s, err := c.addServer(fmt.Sprintf("p-%d", i), "kirtipur", 150*time.Millisecond)
		if err != nil {
			return false, err
		}
		plain = append(plain, s)
	}
	daemons, err := c.addDaemons("kirtipur", 3)
	if err != nil {
		return false, err
	}
	c.clock.Sleep(stableWindow)
	p := &poisoner{cluster: c, servers: plain}
	for p.reached(c.record.start) < allowed {
		p.send(daemons[p.sent%len(daemons)])
		c.clock.Sleep(interval)
	}
	c.clock.Sleep(stableWindow)
	boundAt := c.clock.Now()
	sound := c.startTraffic("hold", "/hold/1", 100*time.Millisecond, daemons[len(daemons)-1])
	for i, d := range daemons {
		if trouble {
			if i == len(daemons)-1 {
				sound.stop()
				sound.recordLost(boundAt)
				sound = c.startTraffic("hold", "/hold/1", 100*time.Millisecond, daemons[0])
			}
			if err := c.restart(d); err != nil {
				return false, err
			}
			c.clock.Sleep(stableWindow)
		}
		for range repeats {
			p.send(d)
			c.clock.Sleep(interval)
		}
	}
	sound.stop()
	sound.recordLost(boundAt)
	reached := p.reached(boundAt)
	c.record.printf("the request reached servers %d times after the bound, allowed %d", reached, allowed)
	return reached > allowed, nil
}

// poisoner repeats the request that crashes servers.
type poisoner struct {
	cluster *cluster
	servers []*plainServer
	sent    int
}

func (p *poisoner) send(d *daemon) {
	p.sent++
	p.cluster.sendOnce(d, fmt.Sprintf("poison-%d", p.sent), "/check/1", poisonBody, time.Second)
}

// reached returns how often the request has reached servers after the time.
func (p *poisoner) reached(after time.Time) int {
	count := 0
	for _, s := range p.servers {
		for _, a := range s.arrivalsAfter(after) {
			if a.body == poisonBody {
				count++
			}
		}
	}
	return count
}

// thirdArrival returns the time at which the request reached a server for the third time after the
// start, and false if it has not.
func (p *poisoner) thirdArrival(start time.Time) (time.Time, bool) {
	const third = 3
	var times []time.Time
	for _, s := range p.servers {
		for _, a := range s.arrivalsAfter(start) {
			if a.body == poisonBody {
				times = append(times, a.at)
			}
		}
	}
	if len(times) < third {
		return time.Time{}, false
	}
	slices.SortFunc(times, time.Time.Compare)
	return times[third-1], true
}
