// Package site runs a modelled site as processes on loopback, injects faults
// into it and watches it.
package site

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/domain/roster"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/experiment/scenario"
)

// Daemon is a daemon's place in the layout.
type Daemon struct {
	Instance   ident.Instance
	DataCentre ident.DataCentre
	// CallerAddress, Operator and Peer are its listeners.
	CallerAddress, OperatorAddress, PeerAddress string
	settingsFile                                string
}

// Engine is an engine's place in the layout.
type Engine struct {
	Instance   ident.Instance
	DataCentre ident.DataCentre
	Domain     ident.FabricDomain
	Address    string
	// centreIndex and domain are positions in the model.
	centreIndex, domainIndex int
}

// layout has the addresses of every process.
type layout struct {
	platform string
	daemons  []Daemon
	engines  []Engine
	services []roster.Instance
}

const (
	engineAccelerators = unit.Accelerators(2)
	firstPort          = 20000
	portsPerRun        = 250
	portRangeCount     = 40
)

// portAllocator gives free ports below the range that the machine uses for outgoing
// connections, which could otherwise take one before its process listens.
type portAllocator struct {
	next, end int
}

func newPortAllocator() *portAllocator {
	first := firstPort + os.Getpid()%portRangeCount*portsPerRun
	return &portAllocator{next: first, end: first + portsPerRun}
}

func (p *portAllocator) allocate() (string, error) {
	for ; p.next < p.end; p.next++ {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		p.next++
		return address, listener.Close()
	}
	return "", fmt.Errorf("no free port up to %d", p.end)
}

func newLayout(s *scenario.Site) (*layout, error) {
	p := newPortAllocator()
	l := new(layout)
	var err error
	take := func() string {
		if err != nil {
			return ""
		}
		var address string
		address, err = p.allocate()
		return address
	}
	l.platform = take()
	for c, centre := range s.DataCentres {
		for n := range centre.Daemons {
			l.daemons = append(l.daemons, Daemon{
				Instance:   ident.Instance(fmt.Sprintf("daemon-%s-%d", centre.Name, n+1)),
				DataCentre: centre.Name, CallerAddress: take(), OperatorAddress: take(), PeerAddress: take(),
			})
		}
		for d, engines := range centre.Domains {
			for n := range engines {
				l.engines = append(l.engines, Engine{
					Instance:   ident.Instance(fmt.Sprintf("engine-%s-%d-%d", centre.Name, d+1, n+1)),
					DataCentre: centre.Name, Domain: ident.FabricDomain(fmt.Sprintf("%s-fabric-%d", centre.Name, d+1)),
					Address: take(), centreIndex: c, domainIndex: d,
				})
			}
		}
		for n := range centre.Services {
			l.services = append(l.services, roster.Instance{
				ID:         ident.Instance(fmt.Sprintf("%s-%s-%d", s.Service, centre.Name, n+1)),
				DataCentre: centre.Name, Role: roster.Service, State: roster.Live, Address: take(), Service: s.Service,
			})
		}
	}
	return l, err
}

// roster returns the platform's list of instances.
func (l *layout) roster() []roster.Instance {
	var list []roster.Instance
	for _, d := range l.daemons {
		list = append(list, roster.Instance{
			ID: d.Instance, DataCentre: d.DataCentre, Role: roster.Daemon, State: roster.Live, Address: d.PeerAddress, CallerAddress: d.CallerAddress,
		})
	}
	for i := range l.engines {
		list = append(list, l.engines[i].rosterInstance())
	}
	return append(list, l.services...)
}

func (e *Engine) rosterInstance() roster.Instance {
	return roster.Instance{
		ID: e.Instance, DataCentre: e.DataCentre, Role: roster.Engine, State: roster.Live,
		Address: e.Address, Domain: e.Domain, Accelerators: engineAccelerators,
	}
}

// writeFiles writes the list of instances and the daemons' settings.
func (l *layout) writeFiles(directory string, s *scenario.Site) error {
	if err := writeJSON(filepath.Join(directory, "roster.json"), l.roster()); err != nil {
		return err
	}
	for i := range l.daemons {
		d := &l.daemons[i]
		d.settingsFile = filepath.Join(directory, string(d.Instance)+".json")
		if err := writeJSON(d.settingsFile, l.daemonSettings(d, s)); err != nil {
			return err
		}
	}
	return nil
}

func (l *layout) daemonSettings(d *Daemon, s *scenario.Site) map[string]any {
	stopLimit := s.DrainLimit
	if stopLimit == 0 {
		stopLimit = 10 * time.Second
	}
	settings := map[string]any{
		"daemon":   map[string]any{"instance": d.Instance, "dataCentre": d.DataCentre, "stopLimit": stopLimit.String()},
		"openai":   map[string]any{"listen": d.CallerAddress},
		"operator": map[string]any{"listen": d.OperatorAddress},
		"peer":     map[string]any{"listen": d.PeerAddress},
		"platform": map[string]any{"addresses": []string{l.platform}},
		"roster":   map[string]any{"url": "http://" + l.platform + "/instances"},
	}
	if s.Policy != "" {
		settings["policy"] = map[string]any{"name": s.Policy}
	}
	return settings
}

func writeJSON(path string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, raw, 0o600)
}
