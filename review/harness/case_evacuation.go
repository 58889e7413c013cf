package main

import "time"

// evacuationKey is the key by which the operator evacuates the zone of the case.
const evacuationKey = "op/evacuate/lalitpur"

func init() { testCases["evacuation"] = playEvacuation }

// playEvacuation evacuates a zone, takes it back and evacuates it again, while the daemons' open
// channels to the store have gone silent and new ones work. The rule is broken if requests that
// callers send to daemons in touch, later than the evacuation time after the last
// acknowledgement, reach the zone's servers.
func playEvacuation(c *cluster, trouble bool) (bool, error) {
	const (
		untilTakenBack = 100 * time.Millisecond
		apart          = 500 * time.Millisecond
		untilPowerOff  = 2 * time.Second
		observation    = 2 * time.Second
		settle         = 4 * time.Second
	)
	c.configure(1, route{name: "hold", kind: "unsafe", service: plainName, attempts: 1, timeout: time.Second})
	daemons, servers, err := addZones(c, "kirtipur", "lalitpur")
	if err != nil {
		return false, err
	}
	requests := c.startTraffic("hold", "/hold/1", 100*time.Millisecond, daemons...)
	defer requests.stop()
	c.clock.Sleep(settle)
	bound := c.evacuate().Add(evacuationTime)
	c.clock.Sleep(evacuationTime + time.Second)
	var evacuated []*plainServer
	for _, s := range servers {
		if s.zone == "lalitpur" {
			evacuated = append(evacuated, s)
		}
	}
	if c.countLate(requests, bound, evacuated...) > 0 {
		return true, nil
	}
	if trouble {
		for _, d := range daemons {
			c.record.printf("link of %s to the store: %d open channels go silent for good, new ones work", d.name, d.storeLink.silence())
		}
	}
	c.clock.Sleep(untilTakenBack)
	c.store.Remove(evacuationKey)
	c.record.printf("operator: takes lalitpur back, acknowledged")
	c.clock.Sleep(apart)
	bound = c.evacuate().Add(evacuationTime)
	c.clock.Sleep(evacuationTime + untilPowerOff)
	for _, s := range evacuated {
		s.exit("is taken away with its zone")
	}
	c.clock.Sleep(observation)
	requests.stop()
	requests.recordLost(bound)
	return c.countLate(requests, bound, evacuated...) > 0, nil
}

// evacuate evacuates the zone and returns the time of the acknowledgement.
func (c *cluster) evacuate() time.Time {
	c.store.Put(evacuationKey, map[string]any{})
	c.record.printf("operator: evacuates lalitpur, acknowledged")
	return c.clock.Now()
}
