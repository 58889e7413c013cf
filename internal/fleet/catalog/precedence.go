package catalog

import (
	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/unit"
)

// withLaterStates replaces, in the registrations, states that are older than what their servers
// have reported since by the known ones. A list of the platform may have been read before a report
// and arrive after it. Registrations themselves arrive in order, so the last one counts, also after
// one of another writer with an epoch of its own. The caller holds the lock.
func (c *Catalog) withLaterStates(registered []*cluster.Server) []*cluster.Server {
	for i, s := range registered {
		updated := *s
		updated.HighestEpoch = epochOf(s)
		if known := c.servers.get(s.ID); known != nil && known.Incarnation == s.Incarnation {
			updated.HighestEpoch = max(known.HighestEpoch, epochOf(s))
			updated.ReportedEpoch = known.ReportedEpoch
			if s.Membership != nil && s.Membership.Epoch < known.ReportedEpoch {
				updated.StagedModels, updated.Membership, updated.AsOf = known.StagedModels, known.Membership, known.AsOf
			}
		}
		registered[i] = &updated
	}
	return registered
}

// isLaterState reports whether the reported state follows the known one of the same incarnation.
// The epochs of a server's memberships rise; where they don't tell, the time at which the state
// held does.
func isLaterState(reported, known *cluster.Server) bool {
	switch {
	case reported.Membership != nil && reported.Membership.Epoch < known.HighestEpoch:
		return false
	case reported.Membership != nil && known.Membership != nil && reported.Membership.Epoch > known.Membership.Epoch:
		return true
	}
	return !reported.AsOf.Before(known.AsOf)
}

// epochOf returns the epoch of the server's membership, zero if it has none.
func epochOf(s *cluster.Server) unit.Epoch {
	if s.Membership == nil {
		return 0
	}
	return s.Membership.Epoch
}
