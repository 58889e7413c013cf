package catalog

import (
	"time"

	"cuminbay/internal/domain/cluster"
)

// leavingLifetime is the time for which the catalog knows that an incarnation of a server was
// leaving after it was last seen so. A registration may come back within seconds: an old copy
// of the platform may have it, or the server may write it again before it exits.
const leavingLifetime = 10 * time.Minute

// SetLeaving publishes a snapshot in which the server drains, as it has said in an answer, and
// returns whether that was not known. An incarnation that drains never serves again, whatever
// its registration says.
func (c *Catalog) SetLeaving(server *cluster.Server) bool {
	if known := c.Current().Server(server.ID); known != nil && known.Incarnation == server.Incarnation && known.Draining {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordLeaving(server)
	known := c.servers.get(server.ID)
	if known == nil || known.Incarnation != server.Incarnation || known.Draining {
		return false
	}
	c.applyServers([]*cluster.Server{drainingCopy(known)}, nil)
	c.publish()
	return true
}

// withLeaving returns the servers, of which those that are leaving drain. The caller holds the
// lock.
func (c *Catalog) withLeaving(servers []*cluster.Server) []*cluster.Server {
	result := make([]*cluster.Server, 0, len(servers))
	for _, s := range servers {
		if s.Draining {
			c.recordLeaving(s)
		} else if _, isLeaving := c.leaving[s.IncarnationID()]; isLeaving {
			s = drainingCopy(s)
		}
		result = append(result, s)
	}
	return result
}

// recordLeaving remembers that the incarnation of the server is leaving, and forgets those
// that left long ago. A server that doesn't say when it started may have restarted since, so
// only its registration counts. The caller holds the lock.
func (c *Catalog) recordLeaving(server *cluster.Server) {
	if server.Incarnation == 0 {
		return
	}
	now := c.clock.Now()
	process := server.IncarnationID()
	if _, known := c.leaving[process]; !known {
		for p, seenAt := range c.leaving {
			if now.Sub(seenAt) > leavingLifetime {
				delete(c.leaving, p)
			}
		}
	}
	c.leaving[process] = now
}

func drainingCopy(s *cluster.Server) *cluster.Server {
	draining := *s
	draining.Draining = true
	return &draining
}
