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

// Options configure how a site is run.
type Options struct {
	Clock clock.Clock
	// BinaryDir is the directory of the programs, WorkDir the directory for
	// settings and logs.
	BinaryDir, WorkDir string
	// Environment is added to the environment of the daemons.
	Environment []string
}

// maxProcesses limits the number of processes of a site.
const maxProcesses = 60

// Site is a running site. mu protects the processes and drained.
type Site struct {
	Options
	Spec scenario.SiteSpec
	*layout
	control *controlClient

	mu sync.Mutex
	// startOrder lists the platform first and the daemons last.
	startOrder []*process
	processes  map[ident.Instance]*process
	drained    map[ident.DataCentre]bool
}

const platformID ident.Instance = "platform"

// Start starts the processes of a site, writes its records and waits until all
// target replicas are warm and serving. The caller must call Stop.
func Start(ctx context.Context, o Options, spec scenario.SiteSpec) (*Site, error) {
	if n := spec.ProcessCount(); n > maxProcesses {
		return nil, fmt.Errorf("site %s: needs %d processes, at most %d are allowed", spec.Name, n, maxProcesses)
	}
	l, err := newLayout(&spec)
	if err != nil {
		return nil, err
	}
	if err := l.writeFiles(o.WorkDir, &spec); err != nil {
		return nil, err
	}
	s := &Site{
		Options: o, Spec: spec, layout: l, control: newControlClient(),
		processes: make(map[ident.Instance]*process), drained: make(map[ident.DataCentre]bool),
	}
	s.prepareProcesses()
	if err := s.startProcesses(ctx); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// prepareProcesses creates the processes in the order of their start.
func (s *Site) prepareProcesses() {
	standin := filepath.Join(s.BinaryDir, "standin")
	add := func(id ident.Instance, args ...string) *process {
		p := newProcess(s.WorkDir, string(id), args...)
		s.startOrder, s.processes[id] = append(s.startOrder, p), p
		return p
	}
	add(platformID, standin, "platform", "--listen", s.platform, "--roster", filepath.Join(s.WorkDir, "roster.json"))
	for i := range s.engines {
		e := &s.engines[i]
		args := []string{
			standin, "engine", "--listen", e.Address, "--instance", string(e.Instance),
			"--data-centre", string(e.DataCentre), "--domain", string(e.Domain), "--answer-tokens", "1000",
		}
		add(e.Instance, append(args, engineFlags(&s.Spec.EngineTiming)...)...)
	}
	for i := range s.services {
		add(s.services[i].ID, standin, "service", "--listen", s.services[i].Address)
	}
	for i := range s.daemons {
		d := &s.daemons[i]
		p := add(d.Instance, filepath.Join(s.BinaryDir, "cuminbay"), "serve", "--settings", d.settingsFile)
		p.environment = s.Environment
	}
}

// engineFlags returns the flags of a simulated engine that differ from the defaults.
func engineFlags(e *scenario.EngineTiming) []string {
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
	// pollInterval and startTimeout are the interval and the limit of waiting for
	// a condition while the site starts.
	pollInterval = 100 * time.Millisecond
	startTimeout = 60 * time.Second
)

// startProcesses starts the platform, writes the records, starts the other processes
// and waits for the replicas.
func (s *Site) startProcesses(ctx context.Context) error {
	for i, p := range s.startOrder {
		if err := p.start(); err != nil {
			return fmt.Errorf("start %s: %w", p.name, err)
		}
		if i == 0 {
			if err := s.writeRecords(ctx); err != nil {
				return err
			}
		}
	}
	return s.await(ctx, "all replicas to serve", s.checkAllServing)
}

// checkAllServing returns an error unless every daemon reports all target replicas of its
// data centre as serving and warm.
func (s *Site) checkAllServing() error {
	for _, d := range s.daemons {
		status, err := s.fetchStatus(&d)
		if err != nil {
			return err
		}
		if got, want := status.servingReplicas(), s.Spec.TargetReplicas(); got < want || !status.Ready || status.anyCold() {
			return fmt.Errorf("%s: got %d of %d target replicas serving, any endpoint cold: %v", d.Instance, got, want, status.anyCold())
		}
	}
	return nil
}

// await repeats the check until it succeeds. It returns an error after startTimeout
// or if a process ends.
func (s *Site) await(ctx context.Context, condition string, check func() error) error {
	deadline := s.Clock.Now().Add(startTimeout)
	for {
		err := check()
		if err == nil {
			return nil
		}
		if name := s.exitedProcess(); name != "" {
			return fmt.Errorf("process %s ended while waiting for %s, see the logs in %s", name, condition, s.WorkDir)
		}
		if s.Clock.Now().After(deadline) {
			return fmt.Errorf("timed out waiting for %s, see the logs in %s: %w", condition, s.WorkDir, err)
		}
		if err := s.Sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// exitedProcess returns the name of a started process that has ended, or an empty
// string.
func (s *Site) exitedProcess() string {
	for _, p := range s.startOrder {
		if p.cmd != nil && !p.running() {
			return p.name
		}
	}
	return ""
}

// Sleep waits for the duration, or returns the error of the context if that ends
// earlier.
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

// CallerAddresses returns the addresses of the daemons' listeners for callers.
func (s *Site) CallerAddresses() []string {
	list := make([]string, len(s.daemons))
	for i := range s.daemons {
		list[i] = s.daemons[i].CallerAddress
	}
	return list
}

// Engines returns the site's simulated engines. Callers must not change the slice.
func (s *Site) Engines() []Engine { return s.engines }

// stopTimeout is the time for processes to end after SIGTERM.
const stopTimeout = 3 * time.Second

// Stop stops the daemons and then the other processes. Processes that do not end
// within stopTimeout are killed.
func (s *Site) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	daemons := s.startOrder[len(s.startOrder)-len(s.daemons):]
	s.terminate(daemons)
	s.terminate(s.startOrder[:len(s.startOrder)-len(s.daemons)])
	s.control.close()
}

// terminate stops the given processes and waits until they have ended.
func (s *Site) terminate(processes []*process) {
	var errs []error
	for _, p := range processes {
		if p.paused {
			errs = append(errs, p.signal(syscall.SIGCONT))
		}
		errs = append(errs, p.signal(syscall.SIGTERM))
	}
	timer := s.Clock.NewTimer(stopTimeout)
	defer timer.Stop()
	timedOut := false
	for _, p := range processes {
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
	// Signalling a process that has just ended fails, which can be ignored.
	_ = errors.Join(errs...)
}

// Daemons returns the site's daemons. Callers must not change the slice.
func (s *Site) Daemons() []Daemon { return s.daemons }
