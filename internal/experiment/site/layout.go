// Package site runs the site of a scenario as processes on loopback, for
// experiments. It injects faults, observes replicas and accelerators, and samples
// the resource usage of the daemons.
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

// Daemon is a daemon of the site.
type Daemon struct {
	Instance   ident.Instance
	DataCentre ident.DataCentre
	// The addresses of the daemon's listeners.
	CallerAddress, OperatorAddress, PeerAddress string
	settingsFile                                string
}

// Engine is a simulated engine of the site.
type Engine struct {
	Instance   ident.Instance
	DataCentre ident.DataCentre
	Domain     ident.FabricDomain
	Address    string
	// dataCentreIndex and domainIndex are positions in the scenario.
	dataCentreIndex, domainIndex int
}

// layout assigns an address to each process of a site.
type layout struct {
	platform string
	daemons  []Daemon
	engines  []Engine
	services []roster.Instance
}

const (
	// engineAccelerators is the number of accelerators of each engine.
	engineAccelerators = unit.Accelerators(2)

	// The ports from firstPort on are divided into portRangeCount ranges of
	// portsPerRun ports. A run uses the range that its process id selects, so
	// that concurrent runs seldom compete for a port.
	firstPort      = 20000
	portsPerRun    = 250
	portRangeCount = 40
)

// portAllocator allocates free ports. The ports are below the range that the kernel
// uses for outgoing connections, which could otherwise occupy a port before the
// process listens on it.
type portAllocator struct {
	next, end int
}

func newPortAllocator() *portAllocator {
	first := firstPort + os.Getpid()%portRangeCount*portsPerRun
	return &portAllocator{next: first, end: first + portsPerRun}
}

// allocate returns the next address on which the process can listen.
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
	return "", fmt.Errorf("allocate a port: no free port below %d", p.end)
}

func newLayout(s *scenario.SiteSpec) (*layout, error) {
	ports := newPortAllocator()
	l := new(layout)
	var err error
	allocate := func() string {
		if err != nil {
			return ""
		}
		var address string
		address, err = ports.allocate()
		return address
	}
	l.platform = allocate()
	for c, dataCentre := range s.DataCentres {
		for n := range dataCentre.Daemons {
			l.daemons = append(l.daemons, Daemon{
				Instance:   ident.Instance(fmt.Sprintf("daemon-%s-%d", dataCentre.Name, n+1)),
				DataCentre: dataCentre.Name, CallerAddress: allocate(), OperatorAddress: allocate(), PeerAddress: allocate(),
			})
		}
		for d, engines := range dataCentre.EnginesPerDomain {
			for n := range engines {
				l.engines = append(l.engines, Engine{
					Instance:   ident.Instance(fmt.Sprintf("engine-%s-%d-%d", dataCentre.Name, d+1, n+1)),
					DataCentre: dataCentre.Name, Domain: ident.FabricDomain(fmt.Sprintf("%s-fabric-%d", dataCentre.Name, d+1)),
					Address: allocate(), dataCentreIndex: c, domainIndex: d,
				})
			}
		}
		for n := range dataCentre.Services {
			l.services = append(l.services, roster.Instance{
				ID:         ident.Instance(fmt.Sprintf("%s-%s-%d", s.Service, dataCentre.Name, n+1)),
				DataCentre: dataCentre.Name, Role: roster.Service, State: roster.Live, Address: allocate(), Service: s.Service,
			})
		}
	}
	return l, err
}

// roster returns the initial list of instances for the platform.
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

// writeFiles writes the list of instances and the settings files of the daemons.
func (l *layout) writeFiles(directory string, s *scenario.SiteSpec) error {
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

func (l *layout) daemonSettings(d *Daemon, s *scenario.SiteSpec) map[string]any {
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
