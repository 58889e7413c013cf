package main

import (
	"fmt"
	"time"
)

func init() { testCases["poison-again"] = playPoisonAgain }

// playPoisonAgain has a request that crashes each server that begins to run it come again at all
// daemons, for longer than the daemons keep its crashes. The rule is broken if it reaches servers
// more than three times once the time after the third crash has passed.
func playPoisonAgain(c *cluster, trouble bool) (bool, error) {
	const (
		servers = 8
		allowed = 3
		length  = 72 * time.Second
	)
	c.configure(1, route{name: "check", kind: "safe", service: plainName, attempts: 2, timeout: time.Second})
	p := &poisoner{cluster: c}
	for i := range servers {
		s, err := c.addServer(fmt.Sprintf("p-%d", i), "kirtipur", 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		p.servers = append(p.servers, s)
	}
	daemons, err := c.addDaemons("kirtipur", 3)
	if err != nil {
		return false, err
	}
	c.clock.Sleep(stableWindow)
	body := poisonBody
	if !trouble {
		body = "sound"
	}
	start := c.clock.Now()
	requests := c.startRepeats("check", "/check/1", body, 100*time.Millisecond, daemons...)
	c.clock.Sleep(length)
	requests.stop()
	bound, found := p.thirdArrival(start)
	if !found {
		return false, nil
	}
	reached := p.reached(bound.Add(stableWindow))
	c.record.printf("the request reached servers %d times later than %s after the third crash, allowed %d", reached, stableWindow, allowed)
	return reached > allowed, nil
}
