package gossip

import (
	"slices"
	"time"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// announcement is a formation that this daemon announces.
type announcement struct {
	cluster.Formation
	since time.Time
}

// A formation is announced for announcementTime, in which all daemons get a datagram of
// this one. A datagram has at most maxAnnouncements formations.
const (
	announcementTime = 8 * time.Second
	maxAnnouncements = 12
)

// AnnounceFormation sends the formation to all daemons immediately, and with the next
// datagrams. The leader calls it while the daemons can't read the members' state from the
// platform's store.
func (g *Gossip) AnnounceFormation(f cluster.Formation) {
	g.mu.Lock()
	now := g.Clock.Now()
	g.announcements = slices.DeleteFunc(g.announcements, func(a announcement) bool {
		return a.Replica == f.Replica || now.Sub(a.since) >= announcementTime
	})
	g.announcements = append(g.announcements, announcement{f, now})
	g.announcements = g.announcements[max(0, len(g.announcements)-maxAnnouncements):]
	g.mu.Unlock()
	g.sendToAll()
}

// announcedFormations returns the formations of the next datagram. The caller holds the
// lock.
func (g *Gossip) announcedFormations(now time.Time) []cluster.Formation {
	var formations []cluster.Formation
	for _, a := range g.announcements {
		if now.Sub(a.since) < announcementTime {
			formations = append(formations, a.Formation)
		}
	}
	return formations
}

func encodeFormation(f *cluster.Formation) *Formation {
	encoded := &Formation{Replica: string(f.Replica), Epoch: uint64(f.Epoch), Model: string(f.Model)}
	for _, m := range f.Members {
		encoded.Members = append(encoded.Members, string(m.ID))
		encoded.Incarnations = append(encoded.Incarnations, uint64(m.Incarnation))
	}
	return encoded
}

// decodeFormation decodes a formation.
//
// Errors carry code.BadMessage.
func decodeFormation(encoded *Formation) (cluster.Formation, error) {
	f := cluster.Formation{Replica: ident.Replica(encoded.GetReplica()), Epoch: unit.Epoch(encoded.GetEpoch()), Model: ident.Model(encoded.GetModel())}
	ids, incarnations := encoded.GetMembers(), encoded.GetIncarnations()
	if len(incarnations) != len(ids) {
		return f, code.BadMessage.New("datagram: formation of replica %s has %d incarnations for %d members", f.Replica, len(incarnations), len(ids))
	}
	for i, id := range ids {
		f.Members = append(f.Members, cluster.FormationMember{ID: ident.Instance(id), Incarnation: unit.Incarnation(incarnations[i])})
	}
	return f, nil
}
