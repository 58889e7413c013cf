// Package scenario describes what experiments simulate: the sites of the two users,
// scaled down to one machine, and their traffic. The traffic is determined by a
// seed, so that runs can be compared.
package scenario

import (
	"fmt"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/unit"
)

// SiteSpec describes the system of a user: its data centres, deployments and plain
// service.
type SiteSpec struct {
	Name        string
	DataCentres []DataCentre
	Deployments []Deployment
	// Service is the plain service. It has one at-most-once call.
	Service      ident.Service
	EngineTiming EngineTiming
	// Policy is the name of the daemons' endpoint selection policy. Empty selects
	// the default.
	Policy string
	// DrainLimit limits how long a daemon waits for its requests in flight at a
	// planned stop. Zero selects 10 s.
	DrainLimit time.Duration
}

// DataCentre holds the number of processes of each kind in a data centre.
type DataCentre struct {
	Name     ident.DataCentre
	Daemons  int
	Services int
	// EnginesPerDomain is the number of engines in each fabric domain.
	EnginesPerDomain []int
}

// Deployment is a model deployment. Replicas is the target number in every data
// centre.
type Deployment struct {
	Name              ident.Deployment
	Model             ident.Model
	ServersPerReplica int
	Replicas          int
	Priority          unit.Priority
	// AnswerShare is the share of chat requests that request the deployment's model.
	AnswerShare float64
}

// EngineTiming sets the speed and the cache size of the simulated engines. Zero
// selects the default of the simulation, and a negative duration means no time.
type EngineTiming struct {
	LoadTime, ColdTime, FirstToken, BlockTime, TokenTime time.Duration
	CacheBlocks                                          int
}

// slowEngine has a tenth of the times of a large model. Its cache holds about a
// third of the organisations' prompt prefixes, so that the choice of endpoint
// affects the time to the first token.
var slowEngine = EngineTiming{
	LoadTime: time.Second, ColdTime: 2 * time.Second, FirstToken: 20 * time.Millisecond,
	BlockTime: 4 * time.Millisecond, TokenTime: 10 * time.Millisecond, CacheBlocks: 220,
}

// Shrestha returns the site of the user whose main concern is the quality of
// service while a data centre is drained and restored. The scenario has 27 of its
// about 50 model servers.
func Shrestha() SiteSpec {
	s := SiteSpec{
		Name: "shrestha", Service: "ledger", EngineTiming: slowEngine,
		Deployments: []Deployment{{Name: "dealer", Model: "dealer", ServersPerReplica: 2, Replicas: 4, AnswerShare: 1}},
	}
	for _, name := range []ident.DataCentre{"kirtipur", "lalitpur", "thimi"} {
		s.DataCentres = append(s.DataCentres, DataCentre{Name: name, Daemons: 2, Services: 1, EnginesPerDomain: []int{5, 4}})
	}
	return s
}

// Revelado returns the site of the user whose main concerns are replica downtime
// and stranded accelerators. The scenario has 30 of its about 50 model servers.
func Revelado() SiteSpec {
	s := SiteSpec{
		Name: "revelado", Service: "orders", EngineTiming: slowEngine,
		Deployments: []Deployment{
			{Name: "retoque", Model: "retoque", ServersPerReplica: 4, Replicas: 1, Priority: 10, AnswerShare: 0.4},
			{Name: "texto", Model: "texto", ServersPerReplica: 2, Replicas: 2, Priority: 1, AnswerShare: 0.6},
		},
	}
	for i, name := range []ident.DataCentre{"scl-a", "scl-b", "scl-c"} {
		daemons := 2
		if i == 0 {
			daemons = 3
		}
		s.DataCentres = append(s.DataCentres, DataCentre{Name: name, Daemons: daemons, Services: 1, EnginesPerDomain: []int{10}})
	}
	return s
}

// UniformSite returns a site of equal data centres, to measure how a figure grows
// with the size of the site.
func UniformSite(dataCentres, daemons, engines, services int) SiteSpec {
	s := SiteSpec{
		Name: fmt.Sprintf("plain-%dx%d", dataCentres, daemons), Service: "ledger", EngineTiming: slowEngine,
		Deployments: []Deployment{{Name: "plain", Model: "plain", ServersPerReplica: 1, Replicas: engines, AnswerShare: 1}},
	}
	for i := range dataCentres {
		s.DataCentres = append(s.DataCentres, DataCentre{
			Name: ident.DataCentre(fmt.Sprintf("centre-%d", i+1)), Daemons: daemons, Services: services, EnginesPerDomain: []int{engines},
		})
	}
	return s
}

// SiteByName returns the site of the named user.
func SiteByName(name string) (SiteSpec, error) {
	switch name {
	case "shrestha":
		return Shrestha(), nil
	case "revelado":
		return Revelado(), nil
	}
	return SiteSpec{}, fmt.Errorf("unknown site %q, expected shrestha or revelado", name)
}

// ProcessCount returns the number of processes of the site, including the platform.
func (s *SiteSpec) ProcessCount() int {
	n := 1
	for _, c := range s.DataCentres {
		n += c.Daemons + c.Services
		for _, engines := range c.EnginesPerDomain {
			n += engines
		}
	}
	return n
}

// TargetReplicas returns the number of replicas that each data centre should have.
func (s *SiteSpec) TargetReplicas() int {
	n := 0
	for _, d := range s.Deployments {
		n += d.Replicas
	}
	return n
}

// PossibleReplicas returns how many of the target replicas the live engines of a
// data centre suffice for, and how many engines those replicas use. livePerDomain
// is the number of live engines in each fabric domain. Deployments are placed in
// the order of the site, which lists higher priorities and larger replicas first.
func (s *SiteSpec) PossibleReplicas(livePerDomain []int) (replicas, engines int) {
	free := append([]int(nil), livePerDomain...)
	for _, d := range s.Deployments {
		for range d.Replicas {
			// Takes the domain with the most free engines, as the other
			// domains may still hold a smaller replica.
			mostFreeDomain := -1
			for i, n := range free {
				if n >= d.ServersPerReplica && (mostFreeDomain < 0 || n > free[mostFreeDomain]) {
					mostFreeDomain = i
				}
			}
			if mostFreeDomain >= 0 {
				free[mostFreeDomain] -= d.ServersPerReplica
				replicas++
				engines += d.ServersPerReplica
			}
		}
	}
	return replicas, engines
}
