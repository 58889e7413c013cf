package formation

import (
	"maps"

	"cuminbay/internal/domain/unit"
	"cuminbay/internal/fleet/catalog"
)

// epochsPerToken is the number of epochs of one term. The epochs of two terms
// never overlap, so no epoch is used with two lists of members.
const epochsPerToken = 1 << 12

// maxLostRevisions bounds the writes that a restored platform has lost. The tokens of an era
// follow on those of the era before by as much, which keeps epochs within the 53 bits that
// every decoder of JSON holds.
const maxLostRevisions = 1 << 28

// firstEpoch returns the first epoch of the term with the token.
func firstEpoch(token unit.Revision) unit.Epoch {
	return unit.Epoch(int64(token.Era())*maxLostRevisions+token.Number()) * epochsPerToken
}

// maxMissedRevisions bounds the revisions, over restorations of the platform too, that this daemon
// doesn't know yet.
const maxMissedRevisions = 2 * maxLostRevisions

// dropImpossibleEpochs drops the replicas whose epochs no planner can have given, as its token
// would be far above all revisions. The registration of such a server is another writer's.
func (p *Planner) dropImpossibleEpochs() {
	highest := firstEpoch(max(p.LatestRevision, p.fencingToken)) + maxMissedRevisions*epochsPerToken
	maps.DeleteFunc(p.reported, func(key catalog.ReplicaKey, _ *catalog.Replica) bool { return key.Epoch > highest })
}

// isSuperseded reports whether a server reports an epoch of a later term.
func (p *Planner) isSuperseded() bool {
	firstLaterEpoch := firstEpoch(p.fencingToken + 1)
	for key := range p.reported {
		if key.Epoch >= firstLaterEpoch {
			return true
		}
	}
	return p.Superseded
}

// nextEpoch returns an epoch above all epochs of this term and all that servers
// report.
func (p *Planner) nextEpoch() unit.Epoch {
	for key := range p.reported {
		p.lastEpoch = max(p.lastEpoch, key.Epoch)
	}
	p.lastEpoch++
	return p.lastEpoch
}
