// Package process_test proves the promises of the design page over real
// processes on loopback, which are killed, paused and cut off.
package process_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cuminbay/internal/domain/roster"
	"cuminbay/internal/kernel/clock"
)

// answerTokens is the length of the engines' answers; tokenTime makes a
// stream last about a second, long enough for a fault in its middle.
const (
	answerTokens = 100
	tokenTime    = "10ms"
)

var (
	clk = clock.Real()
	// binaries is the directory with the built programs.
	binaries string
	// slots bounds the sites that run at once.
	slots = make(chan struct{}, 3)
	sites atomic.Int32
)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	var err error
	if binaries, err = os.MkdirTemp("", "cuminbay-process-"); err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(binaries) }()
	build := exec.Command("go", "build", "-buildvcs=false", "-o", binaries, "cuminbay/cmd/cuminbay", "cuminbay/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("go build: %v\n%s", err, out))
	}
	return m.Run()
}

// layout is the size of a site; the counts are for each data centre.
type layout struct {
	centres  []string
	daemons  int
	engines  int
	replicas int
	services int
}

// daemon is a daemon's process and its listeners.
type daemon struct {
	*process
	centre, caller, operator, peer string
}

// site is one platform with its daemons, engines and services.
type site struct {
	t        testing.TB
	dir, ip  string
	platform *process
	daemons  []*daemon
	// engines and services are by instance id.
	engines, services map[string]*process
	roster            []roster.Instance
}

// process is a program that was started at an address.
type process struct {
	name, address string
	args          []string
	cmd           *exec.Cmd
	ended         chan struct{}
}

// start runs a site until the test ends and waits until it serves.
func start(t testing.TB, l layout) *site {
	t.Helper()
	slots <- struct{}{}
	pid, n := os.Getpid(), int(sites.Add(1))
	const octet = 250
	s := &site{t: t, engines: make(map[string]*process), services: make(map[string]*process)}
	// A loopback address of its own keeps the site's listeners apart from the
	// ports of outgoing connections, which have 127.0.0.1 as their source.
	s.ip = fmt.Sprintf("127.%d.%d.%d", 1+pid/octet%octet, 1+pid%octet, n)
	var err error
	if s.dir, err = os.MkdirTemp("", "cuminbay-site-"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.finish)
	s.build(l)
	s.writeRecords(l)
	s.awaitServing(l.replicas, l.services)
	return s
}

// finish ends the site's processes and keeps the logs of a failed test.
func (s *site) finish() {
	all := []*process{s.platform}
	for _, d := range s.daemons {
		all = append(all, d.process)
	}
	for _, group := range []map[string]*process{s.engines, s.services} {
		for _, p := range group {
			all = append(all, p)
		}
	}
	for _, p := range all {
		if p != nil && p.cmd != nil {
			_ = p.cmd.Process.Kill()
			<-p.ended
		}
	}
	<-slots
	if !s.t.Failed() {
		_ = os.RemoveAll(s.dir)
		return
	}
	s.t.Logf("logs are kept in %s", s.dir)
	for _, d := range s.daemons {
		s.t.Logf("end of the log of %s:\n%s", d.name, tail(filepath.Join(s.dir, d.name+".log")))
	}
}

func tail(path string) string {
	raw, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	const most = 12
	return strings.Join(lines[max(len(lines)-most, 0):], "\n")
}

// build chooses the addresses, writes the files and starts the processes.
func (s *site) build(l layout) {
	s.platform = &process{name: "platform", address: s.port()}
	var starts []*process
	for _, centre := range l.centres {
		for n := range l.daemons {
			d := &daemon{process: &process{name: fmt.Sprintf("daemon-%s-%d", centre, n)}, centre: centre, caller: s.port(), operator: s.port(), peer: s.port()}
			d.args = []string{"cuminbay", "serve", "--settings", filepath.Join(s.dir, d.name+".json")}
			s.daemons, starts = append(s.daemons, d), append(starts, d.process)
			s.add(roster.Instance{ID: id(d.name), DataCentre: dc(centre), Role: roster.Daemon, Address: d.peer, CallerAddress: d.caller})
		}
		for n := range l.engines {
			p := &process{name: fmt.Sprintf("engine-%s-%d", centre, n), address: s.port()}
			p.args = []string{
				"standin", "engine", "--listen", p.address, "--instance", p.name, "--data-centre", centre, "--domain", centre + "-fabric",
				"--load-time", "200ms", "--cold-time", "300ms", "--answer-tokens", fmt.Sprint(answerTokens), "--token-time", tokenTime,
			}
			s.engines[p.name], starts = p, append(starts, p)
			s.add(roster.Instance{ID: id(p.name), DataCentre: dc(centre), Role: roster.Engine, Address: p.address, Domain: domain(centre), Accelerators: 2})
		}
		for n := range l.services {
			p := &process{name: fmt.Sprintf("ledger-%s-%d", centre, n), address: s.port()}
			p.args = []string{"standin", "service", "--listen", p.address}
			s.services[p.name], starts = p, append(starts, p)
			s.add(roster.Instance{ID: id(p.name), DataCentre: dc(centre), Role: roster.Service, Address: p.address, Service: "ledger"})
		}
	}
	file := filepath.Join(s.dir, "roster.json")
	s.save(file, s.roster)
	s.platform.args = []string{"standin", "platform", "--listen", s.platform.address, "--roster", file, "--roster-lag", "200ms"}
	for _, d := range s.daemons {
		s.save(filepath.Join(s.dir, d.name+".json"), s.settings(d))
	}
	for _, p := range append([]*process{s.platform}, starts...) {
		s.run(p)
	}
}

func (s *site) add(i roster.Instance) {
	i.State = roster.Live
	s.roster = append(s.roster, i)
}

// settings shortens the times that a test waits for. The limits within which
// the promises hold keep their defaults.
func (s *site) settings(d *daemon) map[string]any {
	type section map[string]any
	var seeds []section
	for _, o := range s.daemons {
		if o != d {
			seeds = append(seeds, section{"instance": o.name, "dataCentre": o.centre, "address": o.peer})
		}
	}
	return map[string]any{
		"daemon":   section{"instance": d.name, "dataCentre": d.centre, "stopLimit": "10s", "logLevel": "debug"},
		"openai":   section{"listen": d.caller, "leaveDelay": "300ms", "maxBody": 64 << 10},
		"operator": section{"listen": d.operator},
		"peer":     section{"listen": d.peer},
		"member":   section{"seeds": seeds, "address": d.peer, "caller": d.caller},
		"platform": section{"addresses": []string{s.platform.address}, "timeout": "1s"},
		"roster":   section{"url": "http://" + s.platform.address + "/instances", "interval": "300ms"},
		"engine":   section{"silence": silence.String()},
		"plan":     section{"interval": "300ms", "grace": "1s", "hold": "1s", "leaseTTL": leaseTTL.String(), "settle": "1s", "drainLimit": "5s"},
	}
}

// silence is the limit after which an open connection counts as stalled;
// leaseTTL is the life of the planner's lease.
const (
	silence  = 2 * time.Second
	leaseTTL = 3 * time.Second
)

func (s *site) save(path string, v any) {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		err = os.WriteFile(path, raw, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// port returns a free address of the site.
func (s *site) port() string {
	l, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// run starts the process, also again after its end.
func (s *site) run(p *process) {
	s.t.Helper()
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(filepath.Join(binaries, p.args[0]), p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	cmd, ended := p.cmd, make(chan struct{})
	p.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
}

func (s *site) signal(p *process, sig syscall.Signal) {
	s.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		s.t.Fatalf("signal %v to %s: %v", sig, p.name, err)
	}
}

// await repeats the check until it succeeds or the time is over.
func (s *site) await(within time.Duration, what string, check func() error) {
	s.t.Helper()
	var err error
	if s.until(within, func() bool { err = check(); return err == nil }) {
		return
	}
	s.t.Fatalf("not within %s: %s: %v", within, what, err)
}

// hold repeats the check for the time; it has to succeed each time.
func (s *site) hold(during time.Duration, what string, check func() error) {
	s.t.Helper()
	var err error
	if s.until(during, func() bool { err = check(); return err != nil }) {
		s.t.Fatalf("%s: %v", what, err)
	}
}

// until repeats the check until it is true, and reports whether it was before
// the time was over. A check that began in time counts.
func (*site) until(over time.Duration, check func() bool) bool {
	end, ticker := clk.Now().Add(over), clk.NewTicker(25*time.Millisecond)
	defer ticker.Stop()
	for clk.Now().Before(end) {
		if check() {
			return true
		}
		<-ticker.Chan()
	}
	return false
}
