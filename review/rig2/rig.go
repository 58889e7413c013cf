//go:build review2

// Command rig2 plays the scripted cases of the second review. Each case starts daemons as separate
// processes with the command of the deploy file, beside stand-ins of the platform's store, of servers
// and of consumers, and checks one rule by what consumers and servers saw.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/proof/loopback"
	"cuminbay/platform/standin"
)

// Bounds of the small deployment, in its settings' units.
const (
	memoryMB       = 284
	stableWindow   = 3 * time.Second
	configWithin   = 2 * time.Second
	heartbeat      = 1200 * time.Millisecond
	graceSeconds   = 8
	startTime      = 12 * time.Second
	consumerPeriod = 20 * time.Millisecond
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// rig is one run of a case.
type rig struct {
	trouble bool
	began   time.Time
	dir     string
	store   *standin.Store
	host    *loopback.Host
	daemons []*daemon
	servers []*server
	stop    chan struct{}
	// ownViews says that each daemon has links to servers of its own.
	ownViews bool

	mu     sync.Mutex
	record *os.File
}

// errNotRun says that a case couldn't run.
var errNotRun = errors.New("the case couldn't run")

func newRig(recordPath string) (*rig, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	clk := clock.Real()
	return &rig{
		trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), dir: dir, record: record,
		store: standin.NewStore(clk), host: loopback.NewHost(), stop: make(chan struct{}),
	}, nil
}

// logf writes a line to the record.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	close(r.stop)
	for _, d := range r.daemons {
		d.kill()
	}
	for _, s := range r.servers {
		s.crash()
	}
	r.store.CloseClientConnections()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	}
	_ = r.record.Close()
}

// daemon is a process of the role "daemon" of the deploy file.
type daemon struct {
	rig                 *rig
	name, zone          string
	front, ready, relay string
	settingsPath        string
	// view is the store as this daemon sees it, nil if it sees the store itself.
	view *view

	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	inTouchAt time.Time
	kills     int
}

// startDaemons starts a daemon in each zone and waits until all are ready.
func (r *rig) startDaemons(zones ...string) error {
	for i, zone := range zones {
		d := &daemon{rig: r, name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, front: r.host.Address(), ready: r.host.Address(), relay: r.host.Address()}
		if err := d.writeSettings(); err != nil {
			return err
		}
		if err := d.start(); err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	return r.waitReady()
}

// writeSettings writes what deploy/settings.json.tmpl yields for the machine.
func (d *daemon) writeSettings() error {
	gossip, metrics := d.rig.host.Address(), d.rig.host.Address()
	storeAddress := d.rig.store.Address()
	if d.rig.ownViews {
		d.view = d.rig.newView()
		storeAddress = d.view.Listener.Addr().String()
	}
	settings := map[string]any{
		"daemon":    map[string]any{"instance": d.name, "dataCentre": d.zone, "region": "valley", "adapter": "platform", "memory": memoryMB, "logLevel": "info", "events": 256, "stopLimit": fmt.Sprintf("%ds", graceSeconds)},
		"adapter":   map[string]any{"front": d.front, "ready": d.ready, "metrics": metrics, "relay": d.relay, "store": storeAddress},
		"gossip":    map[string]any{"listen": gossip, "feed": gossip, "relay": d.relay},
		"feed":      map[string]any{"listen": gossip},
		"forward":   map[string]any{"ratio": 0.2, "slack": 134, "window": "10s"},
		"mirror":    map[string]any{"within": configWithin.String(), "renewal": heartbeat.String()},
		"formation": map[string]any{"bootstrap": true, "fenced": true},
	}
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	d.settingsPath = filepath.Join(d.rig.dir, d.name+".json")
	return os.WriteFile(d.settingsPath, raw, 0o600)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start() error {
	log, err := os.OpenFile(filepath.Join(d.rig.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process has its own descriptor
	cmd := exec.Command("target/cuminbay", "serve")
	cmd.Env = append(os.Environ(), "CUMINBAY_SETTINGS="+d.settingsPath, "CUMINBAY_PROCESSOR=0.4")
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: start %s: %w", errNotRun, d.name, err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd, d.ended, d.inTouchAt = cmd, ended, time.Now().Add(stableWindow)
	d.rig.logf("started %s, process %d", d.name, cmd.Process.Pid)
	return nil
}

// kill sends SIGKILL and waits for the end.
func (d *daemon) kill() {
	d.mu.Lock()
	cmd, ended := d.cmd, d.ended
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-ended
}

// inTouch reports whether the machine has run undisturbed for the stable window.
func (d *daemon) inTouch(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.After(d.inTouchAt)
}

// hasEnded reports whether the process has ended.
func (d *daemon) hasEnded() bool {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// residentMB returns the resident memory of the process.
func (d *daemon) residentMB() float64 {
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

func (d *daemon) isReady() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + d.ready + "/cuminbay/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all daemons say that they are ready.
func (r *rig) waitReady() error {
	return r.eventually("all daemons ready", startTime, func() bool {
		for _, d := range r.daemons {
			if !d.isReady() {
				return false
			}
		}
		return true
	})
}

// eventually waits for the condition.
func (r *rig) eventually(what string, within time.Duration, holds func() bool) error {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(consumerPeriod) {
		if holds() {
			r.logf("%s", what)
			return nil
		}
	}
	r.logf("not within %s: %s", within, what)
	r.logTails()
	return fmt.Errorf("%w: not within %s: %s", errNotRun, within, what)
}

// logTails copies the last lines of the daemons' logs into the record.
func (r *rig) logTails() {
	const lines = 12
	for _, d := range r.daemons {
		raw, _ := os.ReadFile(filepath.Join(r.dir, d.name+".log"))
		all := strings.Split(strings.TrimSpace(string(raw)), "\n")
		for _, line := range all[max(0, len(all)-lines):] {
			r.logf("log of %s: %s", d.name, line)
		}
	}
}

// freeListener listens on a free port of loopback.
func freeListener() (net.Listener, error) {
	return net.Listen("tcp4", "127.0.0.1:0")
}
