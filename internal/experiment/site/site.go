package site

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cuminbay/internal/domain/ident"
	"cuminbay/internal/experiment/scenario"
	"cuminbay/internal/kernel/clock"
)

// Options say how a site is run.
type Options struct {
	Clock clock.Clock
	// Binaries is the directory of the programs, Directory the one for
	// settings and logs.
	Binaries, Directory string
	// Environment is added to that of the daemons.
	Environment []string
}

// maxProcesses bounds the processes of a site.
const maxProcesses = 60

// Site is a running site.
type Site struct {
	Options
	Spec scenario.Site
	*layout
	control *controlClient

	mu         sync.Mutex
	startOrder []*process
	processes  map[ident.Instance]*process
	drained    map[ident.DataCentre]bool
}

const platformID ident.Instance = "platform"

// Start starts the processes of a site, writes its records and waits until
// every wanted replica serves.
func Start(ctx context.Context, o Options, m scenario.Site) (*Site, error) {
	if n := m.ProcessCount(); n > maxProcesses {
		return nil, fmt.Errorf("site %s: %d processes, more than %d", m.Name, n, maxProcesses)
	}
	l, err := newLayout(&m)
	if err != nil {
		return nil, err
	}
	if err := l.writeFiles(o.Directory, &m); err != nil {
		return nil, err
	}
	s := &Site{
		Options: o, Spec: m, layout: l, control: newControlClient(),
		processes: make(map[ident.Instance]*process), drained: make(map[ident.DataCentre]bool),
	}
	s.prepareProcesses()
	if err := s.startProcesses(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// prepareProcesses lists the processes in the order of their start.
func (s *Site) prepareProcesses() {
	standin := filepath.Join(s.Binaries, "standin")
	add := func(id ident.Instance, args ...string) *process {
		p := newProcess(s.Directory, string(id), args...)
		s.startOrder, s.processes[id] = append(s.startOrder, p), p
		return p
	}
	add(platformID, standin, "platform", "--listen", s.platform, "--roster", filepath.Join(s.Directory, "roster.json"))
	for i := range s.engines {
		e := &s.engines[i]
		args := []string{
			standin, "engine", "--listen", e.Address, "--instance", string(e.Instance),
			"--data-centre", string(e.DataCentre), "--domain", string(e.Domain), "--answer-tokens", "1000",
		}
		add(e.Instance, append(args, engineFlags(&s.Spec.Engine)...)...)
	}
	for i := range s.services {
		add(s.services[i].ID, standin, "service", "--listen", s.services[i].Address)
	}
	for i := range s.daemons {
		d := &s.daemons[i]
		p := add(d.Instance, filepath.Join(s.Binaries, "cuminbay"), "serve", "--settings", d.settingsFile)
		p.environment = s.Environment
	}
}

func engineFlags(e *scenario.Engine) []string {
	var flags []string
	for _, f := range []struct {
		name  string
		value time.Duration
	}{
		{"load-time", e.LoadTime},
		{"cold-time", e.ColdTime},
		{"first-token", e.FirstToken},
		{"block-time", e.BlockTime},
		{"token-time", e.TokenTime},
	} {
		if f.value != 0 {
			flags = append(flags, fmt.Sprintf("--%s=%s", f.name, f.value))
		}
	}
	if e.CacheBlocks != 0 {
		flags = append(flags, "--cache-blocks="+strconv.Itoa(e.CacheBlocks))
	}
	return flags
}

const (
	pollInterval = 100 * time.Millisecond
	startTimeout = 60 * time.Second
)

// startProcesses starts the processes, the platform first and then, when it has the
// records, the others, and waits for the replicas.
func (s *Site) startProcesses(ctx context.Context) error {
	for i, p := range s.startOrder {
		if err := p.start(); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		if i == 0 {
			if err := s.writeRecords(ctx); err != nil {
				return err
			}
		}
	}
	return s.await(ctx, "the replicas", s.checkComplete)
}

// checkComplete reports a data centre in which not every wanted replica serves.
func (s *Site) checkComplete() error {
	for _, d := range s.daemons {
		status, err := s.fetchStatus(&d)
		if err != nil {
			return err
		}
		if got, want := status.servingReplicas(), s.Spec.TargetReplicas(); got < want || !status.Ready || status.anyCold() {
			return fmt.Errorf("%s: %d of %d replicas serve, cold %v", d.Instance, got, want, status.anyCold())
		}
	}
	return nil
}

// await tries until it succeeds.
func (s *Site) await(ctx context.Context, what string, check func() error) error {
	deadline := s.Clock.Now().Add(startTimeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if name := s.exitedProcess(); name != "" {
			return fmt.Errorf("%s ended while waiting for %s, see %s", name, what, s.Directory)
		}
		if s.Clock.Now().After(deadline) {
			return fmt.Errorf("gave up waiting for %s, see %s: %w", what, s.Directory, err)
		}
		if err := s.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// exitedProcess returns a process that ended by itself, if there is one.
func (s *Site) exitedProcess() string {
	for _, p := range s.startOrder {
		if p.cmd != nil && !p.running() {
			return p.name
		}
	}
	return ""
}

// Sleep waits for the duration or the end of the context.
func (s *Site) Sleep(ctx context.Context, d time.Duration) error {
	timer := s.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// CallerAddresses returns the daemons' listeners for callers.
func (s *Site) CallerAddresses() []string {
	list := make([]string, len(s.daemons))
	for i := range s.daemons {
		list[i] = s.daemons[i].CallerAddress
	}
	return list
}

// Engines returns the engines.
func (s *Site) Engines() []Engine { return s.engines }

// stopTimeout is the time that processes get to end by themselves.
const stopTimeout = 3 * time.Second

// Stop ends the daemons first and then the rest; what doesn't end in time is
// killed.
func (s *Site) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	daemons := s.startOrder[len(s.startOrder)-len(s.daemons):]
	s.terminate(daemons)
	s.terminate(s.startOrder[:len(s.startOrder)-len(s.daemons)])
	s.control.close()
}

func (s *Site) terminate(list []*process) {
	var errs []error
	for _, p := range list {
		if p.paused {
			errs = append(errs, p.signal(syscall.SIGCONT))
		}
		errs = append(errs, p.signal(syscall.SIGTERM))
	}
	timer := s.Clock.NewTimer(stopTimeout)
	defer timer.Stop()
	timedOut := false
	for _, p := range list {
		if !p.running() {
			continue
		}
		if !timedOut {
			select {
			case <-p.exited:
			case <-timer.Chan():
				timedOut = true
			}
		}
		errs = append(errs, p.kill())
	}
	// A process that ended by itself in between can't be signalled; there is
	// nothing to do about it.
	_ = errors.Join(errs...)
}

// Daemons returns the daemons.
func (s *Site) Daemons() []Daemon { return s.daemons }
