// Command rig3 plays the cases of the third review: it starts the deploy file's program as separate
// processes on loopback, with stand-ins of the store, the servers and the clients.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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
	"cuminbay/internal/proof/loopback"
	"cuminbay/platform/standin"
)

// record is the file of what was sent, answered and run, one line an event.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// options describe a deployment.
type options struct {
	daemons, memory, files int
	plainServers           int
	models                 bool
	bootstrap              bool
}

// lab is a small deployment on loopback.
type lab struct {
	*record
	options
	dir     string
	clock   clock.Clock
	store   *standin.Store
	pages   *pagingStore
	plain   []*plainServer
	engines map[string]*standin.Server
	runs    *standin.RunLog
	daemons []*daemon
	version int
}

const (
	zoneCount  = 3
	stableTime = 3 * time.Second
	domainSize = 9
)

func zoneOf(n int) string { return fmt.Sprintf("zone-%c", 'a'+n%zoneCount) }

// newLab starts the store and the servers, and then the daemons.
func newLab(recordPath string, o options) (*lab, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	l := &lab{record: &record{file: file, start: time.Now()}, options: o, dir: dir, clock: clock.Real(), engines: make(map[string]*standin.Server), runs: standin.NewRunLog()}
	l.store = standin.NewStore(l.clock)
	l.pages = newPagingStore(l.store)
	for i := range o.plainServers {
		l.plain = append(l.plain, newPlainServer(l, fmt.Sprintf("p-%02d", i), zoneOf(i)))
	}
	if o.models {
		for i := range 2 * domainSize {
			id := fmt.Sprintf("e-%02d", i)
			l.engines[id] = standin.NewServer(l.clock, l.store, l.runs, id, "llm", zoneOf(i/domainSize), fmt.Sprintf("d%d", i/domainSize))
		}
	}
	l.configure("key-a")
	for i := range o.daemons {
		d, err := l.newDaemon(i)
		if err != nil {
			return l, err
		}
		l.daemons = append(l.daemons, d)
		if err := d.launch(); err != nil {
			return l, err
		}
	}
	return l, nil
}

// close ends every process that the lab has started.
func (l *lab) close() {
	for _, d := range l.daemons {
		d.kill()
		d.link.Close()
	}
	for _, s := range l.plain {
		s.crash()
	}
	for _, s := range l.engines {
		s.Crash()
	}
	l.pages.close()
	l.store.CloseClientConnections()
	l.store.Close()
	_ = l.file.Close()
	_ = os.RemoveAll(l.dir)
}

// configure writes the next version of the configuration.
func (l *lab) configure(keys ...string) {
	l.version++
	route := func(name, kind, prefix, service string, timeout, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout, "slo_ms": 300, "priority": 1,
			"service": service, "attempts": attempts, "resumable": kind == "stream", "gap_target_ms": 300,
		}
	}
	l.store.Put("op/config", map[string]any{
		"version": l.version,
		"routes": []any{
			route("draft", "stream", "/draft/", "llm", 8000, 2), route("check", "safe", "/check/", "book", 4000, 2), route("hold", "unsafe", "/hold/", "book", 4000, 1),
		},
		"services": []any{
			map[string]any{"name": "book", "health_path": "/health", "max_conns": 110},
			map[string]any{"name": "llm", "health_path": "/health", "max_conns": 474, "engine": map[string]any{
				"slots": 26, "step_ms": 5.95, "per_seq_ms": 0.0445, "stride": 7, "read_per_s": 50700, "chunk": 2048, "loads_per_s": 100, "loads_at_once": 18, "form_ms": 30, "kv_capacity": 1590000,
				"models": []any{map[string]any{"name": "m0", "size": 4, "share": 1, "pace": 1, "load_s": 0.1, "warm_s": 0.05}},
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-a", "api_keys": keys}},
	})
}

// daemon is a separate process of the program under review.
type daemon struct {
	lab                          *lab
	name, ip                     string
	front, ready, metrics, peers string
	settings                     string
	link                         *standin.Proxy

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	log  *os.File
}

// newDaemon writes the settings that the template of the deploy file yields.
func (l *lab) newDaemon(i int) (*daemon, error) {
	host := loopback.NewHost()
	d := &daemon{lab: l, name: fmt.Sprintf("front-%d", i), front: host.Address(), ready: host.Address(), metrics: host.Address(), peers: host.Address(), link: standin.NewProxy(l.clock, l.pages.Listener.Addr().String())}
	relay := host.Address()
	d.settings = filepath.Join(l.dir, d.name+".json")
	raw, err := json.Marshal(map[string]any{
		"daemon":    map[string]any{"instance": d.name, "dataCentre": zoneOf(i), "region": "valley", "adapter": "platform", "memory": l.memory, "logLevel": "info", "events": 256, "stopLimit": "8s"},
		"adapter":   map[string]any{"front": d.front, "ready": d.ready, "metrics": d.metrics, "relay": relay, "store": d.link.Address()},
		"gossip":    map[string]any{"listen": d.peers, "feed": d.peers, "relay": relay},
		"feed":      map[string]any{"listen": d.peers},
		"forward":   map[string]any{"ratio": 0.2, "slack": 134, "window": "10s"},
		"mirror":    map[string]any{"within": "2000ms", "renewal": "1200ms"},
		"formation": map[string]any{"bootstrap": l.bootstrap, "fenced": true},
	})
	if err != nil {
		return nil, err
	}
	return d, os.WriteFile(d.settings, raw, 0o600)
}

// launch starts the process with the command of the deploy file.
func (d *daemon) launch() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	args := []string{"target/cuminbay", "serve", "--set", fmt.Sprintf("mirror.recovery=%dms", stableTime.Milliseconds())}
	if d.lab.files > 0 {
		args = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$@"`, d.lab.files), "sh"}, args...)
	}
	d.cmd = exec.Command(args[0], args[1:]...)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CUMINBAY_SETTINGS=" + d.settings, "CUMINBAY_PROCESSOR=0.4"}
	log, err := os.OpenFile(filepath.Join(d.lab.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd.Stdout, d.cmd.Stderr, d.log = log, log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	cmd, done := d.cmd, make(chan struct{})
	d.done = done
	go func() {
		err := cmd.Wait()
		d.lab.line("process %s ended: %v %v", d.name, cmd.ProcessState, err)
		close(done)
	}()
	d.lab.line("process %s started", d.name)
	return nil
}

func (d *daemon) ended() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

func (d *daemon) signal(s syscall.Signal) {
	d.lab.line("signal %s to %s", s, d.name)
	_ = d.cmd.Process.Signal(s)
}

func (d *daemon) kill() {
	if d.cmd == nil || d.ended() {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGCONT)
	_ = d.cmd.Process.Kill()
	<-d.done
	_ = d.log.Close()
}

func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + d.ready + "/cuminbay/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// memory returns the present and the highest resident memory in MB.
func (d *daemon) memory() (now, peak int) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	for line := range strings.Lines(string(raw)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			_, _ = fmt.Sscan(v, &peak)
		}
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			_, _ = fmt.Sscan(v, &now)
		}
	}
	return now >> 10, peak >> 10
}

var errNotReady = errors.New("the deployment did not become ready")

// waitServing waits until every daemon serves requests.
func (l *lab) waitServing() error {
	deadline := time.Now().Add(20 * time.Second)
	for i, d := range l.daemons {
		for n := 0; ; n++ {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s", errNotReady, d.name)
			}
			if d.isReady() && l.send(d, request{id: fmt.Sprintf("settle-%d-%d", i, n), path: "/check/settle"}).status == http.StatusOK &&
				(!l.models || l.send(d, request{id: fmt.Sprintf("settle-s-%d-%d", i, n), path: "/draft/settle"}).status == http.StatusOK) {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// sleep waits for the time unless the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// request is what a client sends on a connection of its own.
type request struct {
	id, method, path, key, fields, body string
	deadline                            time.Duration
}

// answer is what the client gets.
type answer struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
	took     time.Duration
}

func (a answer) String() string {
	if a.err != nil && a.status == 0 {
		return fmt.Sprintf("no answer (%v) after %dms", a.err, a.took.Milliseconds())
	}
	return fmt.Sprintf("%d complete=%v %d bytes after %dms %q", a.status, a.complete, len(a.body), a.took.Milliseconds(), excerpt(a.body))
}

func excerpt(s string) string {
	if len(s) > 60 {
		return s[:60]
	}
	return s
}

func (l *lab) send(d *daemon, r request) answer {
	start := time.Now()
	a := l.exchange(d, &r)
	a.took = time.Since(start)
	l.line("client %s at %s: %s -> %s", excerpt(r.id), d.name, r.path, a)
	return a
}

func (l *lab) exchange(d *daemon, r *request) answer {
	if r.method == "" {
		r.method = "POST"
	}
	if r.key == "" {
		r.key = "key-a"
	}
	if r.deadline == 0 {
		r.deadline = 4 * time.Second
	}
	conn, err := net.DialTimeout("tcp", d.front, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close() //nolint:errcheck // the answer has been read
	_ = conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nKey: %s\r\nModel: m0\r\nToken-Count: 100,140\r\nDeadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		r.method, r.path, r.id, r.key, r.deadline.Milliseconds(), r.fields, len(r.body), r.body)
	if err != nil {
		return answer{err: err}
	}
	return readAnswer(conn, r.method)
}

func readAnswer(conn io.Reader, method string) answer {
	raw := newReader(conn)
	response, err := http.ReadResponse(raw, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), complete: err == nil, err: err}
}
