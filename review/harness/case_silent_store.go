package main

import "time"

func init() { testCases["silent-store"] = playSilentStore }

// playSilentStore makes the daemons' open channels to the store go silent, while new ones work.
// Then a server leaves without reporting that it drains. The rule is broken if requests that
// callers send once the daemons are in touch, and later than the drain time, reach that server.
func playSilentStore(c *cluster, trouble bool) (bool, error) {
	const (
		untilLeaving = 500 * time.Millisecond
		untilExit    = 3800 * time.Millisecond
		observation  = 3 * time.Second
		settle       = 12 * time.Second
	)
	c.configure(1, route{name: "hold", kind: "unsafe", service: plainName, attempts: 1, timeout: time.Second})
	daemons, servers, err := addZones(c, "kirtipur", "lalitpur")
	if err != nil {
		return false, err
	}
	requests := c.startTraffic("hold", "/hold/1", 100*time.Millisecond, daemons...)
	defer requests.stop()
	c.clock.Sleep(settle)
	silentAt := c.clock.Now()
	if trouble {
		for _, d := range daemons {
			c.record.printf("link of %s to the store: %d open channels go silent for good, new ones work", d.name, d.storeLink.silence())
		}
	}
	c.clock.Sleep(untilLeaving)
	leaving := servers[0]
	leaving.deregister()
	goneAt := c.clock.Now()
	c.clock.Sleep(untilExit)
	leaving.exit("has left, exits")
	c.clock.Sleep(observation)
	boundAt := goneAt.Add(drainTime)
	if inTouchAt := silentAt.Add(stableWindow); trouble && inTouchAt.After(boundAt) {
		boundAt = inTouchAt
	}
	requests.stop()
	requests.recordLost(goneAt)
	return c.countLate(requests, boundAt, leaving) > 0, nil
}
