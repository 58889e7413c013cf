package main

import (
	"fmt"
	"time"
)

// addZones starts a daemon and two servers in each zone, and waits until the daemons are ready.
func addZones(c *cluster, zones ...string) ([]*daemon, []*plainServer, error) {
	const work = 150 * time.Millisecond
	var daemons []*daemon
	var servers []*plainServer
	for _, zone := range zones {
		for i := range 2 {
			s, err := c.addServer(fmt.Sprintf("p-%s-%d", zone, i), zone, work)
			if err != nil {
				return nil, nil, err
			}
			servers = append(servers, s)
		}
	}
	for _, zone := range zones {
		added, err := c.addDaemons(zone, 1)
		if err != nil {
			return nil, nil, err
		}
		daemons = append(daemons, added...)
	}
	return daemons, servers, nil
}

// addDaemons starts daemons in the zone and waits until they are ready.
func (c *cluster) addDaemons(zone string, count int) ([]*daemon, error) {
	var daemons []*daemon
	for range count {
		d, err := c.addDaemon(zone)
		if err != nil {
			return nil, err
		}
		daemons = append(daemons, d)
	}
	for _, d := range daemons {
		if err := c.waitReady(d); err != nil {
			return nil, err
		}
	}
	return daemons, nil
}

// countLate records and counts the requests that callers sent after the bound and that have
// reached the servers.
func (c *cluster) countLate(requests *traffic, bound time.Time, servers ...*plainServer) int {
	late := 0
	for _, s := range servers {
		for _, a := range s.arrivalsAfter(bound) {
			r, found := requests.of(a.id)
			if !found || !r.at.After(bound) {
				continue
			}
			late++
			c.record.printf("LATE: %s reached server %s %s after the bound, sent %s after it to %s", a.id, s.id, a.at.Sub(bound).Round(time.Millisecond), r.at.Sub(bound).Round(time.Millisecond), r.daemon)
		}
	}
	return late
}
