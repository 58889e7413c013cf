package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cuminbay/internal/kernel/clock"
	"cuminbay/platform/standin"
)

// Files of the repository, from whose root a case is run.
const (
	daemonBinary     = "target/cuminbay"
	settingsTemplate = "deploy/settings.json.tmpl"
)

// Ports of each daemon, on a loopback address of its own.
const (
	frontPort   = 8227
	readyPort   = 8220
	peerPort    = 7340
	relayPort   = 7355
	metricsPort = 9464
)

// cluster has the platform's store and the processes of the daemons.
type cluster struct {
	clock  clock.Clock
	record *record
	store  *standin.Store
	dir    string
	// network is the first three bytes of the daemons' addresses.
	network string

	mu      sync.Mutex
	daemons []*daemon
	// closers end the stand-ins that the case has started.
	closers []func()
	closed  bool
}

// daemon is a daemon process.
type daemon struct {
	name, zone, ip string
	// storeLink is the link to the store.
	storeLink *link
	settings  string
	command   *exec.Cmd
	exited    chan struct{}
}

func (d *daemon) address(port int) string {
	return fmt.Sprintf("%s:%d", d.ip, port)
}

func newCluster(clk clock.Clock) (*cluster, error) {
	if _, err := os.Stat(daemonBinary); err != nil {
		return nil, fmt.Errorf("the deploy file's build is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	return &cluster{
		clock: clk, record: &record{clock: clk, start: clk.Now()}, store: standin.NewStore(clk), dir: dir, network: network,
	}, nil
}

// maxDaemons is the highest number of daemons of a case.
const maxDaemons = 4

// freeNetwork returns the first three bytes of loopback addresses whose ports are free.
func freeNetwork() (string, error) {
	const tries = 50
	for range tries {
		network := fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		if isFree(network) {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func isFree(network string) bool {
	for i := range maxDaemons {
		for _, port := range []int{frontPort, readyPort, peerPort, relayPort, metricsPort} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// addDaemon starts a daemon in the zone.
func (c *cluster) addDaemon(zone string) (*daemon, error) {
	c.mu.Lock()
	n := len(c.daemons) + 1
	c.mu.Unlock()
	d := &daemon{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: fmt.Sprintf("%s.%d", c.network, n)}
	var err error
	if d.storeLink, err = newLink(c.store.Address()); err != nil {
		return nil, err
	}
	d.settings = filepath.Join(c.dir, d.name+".json")
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(d.settings, []byte(d.render(string(template))), 0o600); err != nil {
		return nil, err
	}
	c.mu.Lock()
	c.daemons = append(c.daemons, d)
	c.mu.Unlock()
	return d, c.start(d)
}

// render fills in the template of the settings. The bounds are those of the sheets.
func (d *daemon) render(template string) string {
	fields := map[string]string{
		"node": d.name, "zone": d.zone, "region": "valley", "limits.memory_mb": "284", "ip": d.ip,
		"listen.front": d.address(frontPort), "listen.ready": d.address(readyPort),
		"internal_ports.0": fmt.Sprint(peerPort), "internal_ports.1": fmt.Sprint(relayPort),
		"platform.address": d.storeLink.address(), "heartbeat_ms": "1200", "bootstrap": "true",
		"bounds.grace_s": "8", "bounds.config_ms": "2000", "bounds.fence_checked": "true",
		"bounds.budget_ratio": "0.2", "bounds.budget_slack": "134", "bounds.budget_window_s": "10",
	}
	for name, value := range fields {
		template = strings.ReplaceAll(template, "{{"+name+"}}", value)
	}
	return template
}

// start starts the daemon's process, as the deploy file says.
func (c *cluster) start(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(c.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() //nolint:errcheck // the process has its own descriptor
	command := exec.Command(daemonBinary, "serve")
	command.Env = []string{"CUMINBAY_SETTINGS=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + c.dir}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	c.mu.Lock()
	d.command, d.exited = command, exited
	c.mu.Unlock()
	c.record.printf("daemon %s: started", d.name)
	return nil
}

// restart stops the daemon as planned and starts it again.
func (c *cluster) restart(d *daemon) error {
	c.record.printf("daemon %s: SIGTERM", d.name)
	if err := d.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	<-d.exited
	if err := c.start(d); err != nil {
		return err
	}
	return c.waitReady(d)
}

// waitReady waits until the daemon says that it is ready.
func (c *cluster) waitReady(d *daemon) error {
	return c.waitUntil(d.name+" ready", func() bool {
		response, err := http.Get("http://" + d.address(readyPort) + "/cuminbay/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// waitUntil waits until the condition holds.
func (c *cluster) waitUntil(condition string, holds func() bool) error {
	const limit, interval = 15 * time.Second, 50 * time.Millisecond
	for end := c.clock.Now().Add(limit); c.clock.Now().Before(end); c.clock.Sleep(interval) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %s", condition, limit)
}

// close ends all processes and stand-ins.
func (c *cluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	for _, d := range c.daemons {
		if d.command != nil {
			_ = d.command.Process.Kill()
			<-d.exited
		}
		d.storeLink.close()
	}
	for _, closeStandin := range c.closers {
		closeStandin()
	}
	c.store.CloseClientConnections()
	c.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// onClose adds a function that ends a stand-in.
func (c *cluster) onClose(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closers = append(c.closers, f)
}

// route is a route of the configuration.
type route struct {
	name, kind, service string
	attempts            int
	timeout             time.Duration
}

const (
	routeHost  = "yard.example"
	organiser  = "tenant-1"
	callerKey  = "key-of-tenant-1"
	modelName  = "m0"
	plainName  = "yard-book"
	engineName = "chest-llm"
)

// configure writes the configuration. Members is the size of the model's replicas.
func (c *cluster) configure(members int, routes ...route) {
	var wireRoutes []any
	for _, r := range routes {
		wireRoutes = append(wireRoutes, map[string]any{
			"name": r.name, "host": routeHost, "prefix": "/" + r.name + "/", "kind": r.kind, "timeout_ms": r.timeout.Milliseconds(), "slo_ms": 300,
			"priority": 1, "service": r.service, "attempts": r.attempts, "resumable": r.kind == "stream", "gap_target_ms": 300, "sticky": r.kind == "stream",
		})
	}
	c.store.Put("op/config", map[string]any{
		"version": 1, "routes": wireRoutes,
		"services": []any{
			map[string]any{"name": plainName, "health_path": "/health", "max_conns": 110},
			map[string]any{"name": engineName, "health_path": "/health", "max_conns": 474, "engine": map[string]any{
				"slots": 8, "step_ms": 5.95, "stride": 7, "read_per_s": 50700, "chunk": 2048, "loads_per_s": 4.5, "loads_at_once": 6, "form_ms": 30,
				"models": []any{map[string]any{"name": modelName, "size": members, "share": 1, "pace": 1, "load_s": 16, "warm_s": 1.6}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 2000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": organiser, "api_keys": []string{callerKey}}},
	})
}

// rewrite replaces a text in the daemon's settings. It counts from the next start.
func (d *daemon) rewrite(before, after string) {
	raw, err := os.ReadFile(d.settings)
	if err != nil {
		return
	}
	_ = os.WriteFile(d.settings, []byte(strings.ReplaceAll(string(raw), before, after)), 0o600)
}
