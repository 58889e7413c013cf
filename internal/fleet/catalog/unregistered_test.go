package catalog

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"cuminbay/internal/domain/cluster"
	"cuminbay/internal/domain/ident"
)

// TestUnregistered guards against a replica that stops serving because a member's entry on the
// platform ends, although the member works, against servers that are kept for no replica that
// serves, and against a result that depends on the order in which the members are visited.
func TestUnregistered(t *testing.T) {
	const headID, memberID = "a", "b"
	server := func(id ident.Instance, rank int, state cluster.MemberState) *cluster.Server {
		s := &cluster.Server{ID: id, Service: llm, Address: string(id), Incarnation: 7}
		s.Membership = &cluster.Membership{Replica: "r", Epoch: 3, Model: "m", State: state}
		if rank > 0 {
			s.Membership.Rank = 1
		}
		return s
	}
	head, member := server(headID, 0, cluster.Open), server(memberID, 1, cluster.Ready)
	draining, rejoined, broken := *member, *head, server(headID, 0, cluster.Broken)
	draining.Draining = true
	rejoined.Membership = &cluster.Membership{Replica: "r", Epoch: 4, Model: "m", State: cluster.Joining}
	// More servers say that they are the head, so that visiting the head first is unlikely.
	var otherHeads []*cluster.Server
	var otherHeadIDs []ident.Instance
	for _, id := range []ident.Instance{"c", "d", "e", "f", "g", "h", "i"} {
		otherHeads, otherHeadIDs = append(otherHeads, server(id, 0, cluster.Ready)), append(otherHeadIDs, id)
	}
	tests := map[string]struct {
		updates    []Update
		wantServes bool
		wantMember bool
	}{
		"member removed":                   {updates: []Update{{Removed: []ident.Instance{memberID}}}, wantServes: true, wantMember: true},
		"member removed twice":             {updates: []Update{{Removed: []ident.Instance{memberID}}, {Removed: []ident.Instance{memberID}}}, wantServes: true, wantMember: true},
		"member registered again":          {updates: []Update{{Removed: []ident.Instance{memberID}}, {Servers: []*cluster.Server{member}}}, wantServes: true, wantMember: true},
		"draining member removed":          {updates: []Update{{Servers: []*cluster.Server{&draining}}, {Removed: []ident.Instance{memberID}}}},
		"head removed":                     {updates: []Update{{Removed: []ident.Instance{headID}}}, wantMember: true},
		"member and head removed":          {updates: []Update{{Removed: []ident.Instance{memberID}}, {Removed: []ident.Instance{headID}}}},
		"both removed at once":             {updates: []Update{{Removed: []ident.Instance{headID, memberID}}}},
		"member removed, head rejoins":     {updates: []Update{{Removed: []ident.Instance{memberID}}, {Servers: []*cluster.Server{&rejoined}}}},
		"member removed, head misses it":   {updates: []Update{{Removed: []ident.Instance{memberID}}, {Servers: []*cluster.Server{broken}}}},
		"member removed, several heads":    {updates: []Update{{Servers: otherHeads}, {Removed: []ident.Instance{memberID}}}, wantMember: true},
		"several heads, one remains":       {updates: []Update{{Servers: otherHeads}, {Removed: []ident.Instance{memberID}}, {Removed: otherHeadIDs}}, wantServes: true, wantMember: true},
		"member removed, head is unharmed": {updates: []Update{{Removed: []ident.Instance{memberID}}, {Servers: []*cluster.Server{head}}}, wantServes: true, wantMember: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cat := New(clockwork.NewFakeClock())
			config := newConfig(1)
			config.Services[llm].Engine.Models = []cluster.Model{{Name: "m", ServersPerReplica: 2}}
			cat.Apply(Update{Config: config, Servers: []*cluster.Server{head, member}, Synced: true})
			for _, u := range test.updates {
				cat.Apply(u)
			}
			s := cat.Current()
			c.Check(len(s.ModelEndpoints(llm, "m")) == 1, qt.Equals, test.wantServes)
			c.Check(s.Server(memberID) != nil, qt.Equals, test.wantMember)
		})
	}
}
