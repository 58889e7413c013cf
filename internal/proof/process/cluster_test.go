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
	// clusterSlots bounds the sites that run at once.
	clusterSlots = make(chan struct{}, 3)
	clusterCount atomic.Int32
)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
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

// clusterSize is the size of a site; the counts are for each data centre.
type clusterSize struct {
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

// cluster is one platform with its daemons, engines and services.
type cluster struct {
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
	exited        chan struct{}
}

// startCluster runs a site until the test ends and waits until it serves.
func startCluster(t testing.TB, l clusterSize) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	pid, n := os.Getpid(), int(clusterCount.Add(1))
	const octetRange = 250
	s := &cluster{t: t, engines: make(map[string]*process), services: make(map[string]*process)}
	// A loopback address of its own keeps the site's listeners apart from the
	// ports of outgoing connections, which have 127.0.0.1 as their source.
	s.ip = fmt.Sprintf("127.%d.%d.%d", 1+pid/octetRange%octetRange, 1+pid%octetRange, n)
	var err error
	if s.dir, err = os.MkdirTemp("", "cuminbay-site-"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.stop)
	s.startProcesses(l)
	s.writeRecords(l)
	s.awaitServing(l.replicas, l.services)
	return s
}

// stop ends the site's processes and keeps the logs of a failed test.
func (s *cluster) stop() {
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
			<-p.exited
		}
	}
	<-clusterSlots
	if !s.t.Failed() {
		_ = os.RemoveAll(s.dir)
		return
	}
	s.t.Logf("logs are kept in %s", s.dir)
	for _, d := range s.daemons {
		s.t.Logf("end of the log of %s:\n%s", d.name, lastLines(filepath.Join(s.dir, d.name+".log")))
	}
}

func lastLines(path string) string {
	raw, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	const maxLines = 12
	return strings.Join(lines[max(len(lines)-maxLines, 0):], "\n")
}

// startProcesses chooses the addresses, writes the files and starts the processes.
func (s *cluster) startProcesses(l clusterSize) {
	s.platform = &process{name: "platform", address: s.freeAddress()}
	var toStart []*process
	for _, centre := range l.centres {
		for n := range l.daemons {
			d := &daemon{process: &process{name: fmt.Sprintf("daemon-%s-%d", centre, n)}, centre: centre, caller: s.freeAddress(), operator: s.freeAddress(), peer: s.freeAddress()}
			d.args = []string{"cuminbay", "serve", "--settings", filepath.Join(s.dir, d.name+".json")}
			s.daemons, toStart = append(s.daemons, d), append(toStart, d.process)
			s.addInstance(roster.Instance{ID: instanceID(d.name), DataCentre: dataCentreID(centre), Role: roster.Daemon, Address: d.peer, CallerAddress: d.caller})
		}
		for n := range l.engines {
			p := &process{name: fmt.Sprintf("engine-%s-%d", centre, n), address: s.freeAddress()}
			p.args = []string{
				"standin", "engine", "--listen", p.address, "--instance", p.name, "--data-centre", centre, "--domain", centre + "-fabric",
				"--load-time", "200ms", "--cold-time", "300ms", "--answer-tokens", fmt.Sprint(answerTokens), "--token-time", tokenTime,
			}
			s.engines[p.name], toStart = p, append(toStart, p)
			s.addInstance(roster.Instance{ID: instanceID(p.name), DataCentre: dataCentreID(centre), Role: roster.Engine, Address: p.address, Domain: fabricDomain(centre), Accelerators: 2})
		}
		for n := range l.services {
			p := &process{name: fmt.Sprintf("ledger-%s-%d", centre, n), address: s.freeAddress()}
			p.args = []string{"standin", "service", "--listen", p.address}
			s.services[p.name], toStart = p, append(toStart, p)
			s.addInstance(roster.Instance{ID: instanceID(p.name), DataCentre: dataCentreID(centre), Role: roster.Service, Address: p.address, Service: "ledger"})
		}
	}
	file := filepath.Join(s.dir, "roster.json")
	s.writeJSON(file, s.roster)
	s.platform.args = []string{"standin", "platform", "--listen", s.platform.address, "--roster", file, "--roster-lag", "200ms"}
	for _, d := range s.daemons {
		s.writeJSON(filepath.Join(s.dir, d.name+".json"), s.daemonSettings(d))
	}
	for _, p := range append([]*process{s.platform}, toStart...) {
		s.startProcess(p)
	}
}

func (s *cluster) addInstance(i roster.Instance) {
	i.State = roster.Live
	s.roster = append(s.roster, i)
}

// daemonSettings shortens the times that a test waits for. The limits within which
// the promises hold keep their defaults.
func (s *cluster) daemonSettings(d *daemon) map[string]any {
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
		"engine":   section{"silence": stallTimeout.String()},
		"plan":     section{"interval": "300ms", "grace": "1s", "hold": "1s", "leaseTTL": leaseTTL.String(), "settle": "1s", "drainLimit": "5s"},
	}
}

// silence is the limit after which an open connection counts as stalled;
// leaseTTL is the life of the planner's lease.
const (
	stallTimeout = 2 * time.Second
	leaseTTL     = 3 * time.Second
)

func (s *cluster) writeJSON(path string, v any) {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		err = os.WriteFile(path, raw, 0o600)
	}
	if err != nil {
		s.t.Fatal(err)
	}
}

// freeAddress returns a free address of the site.
func (s *cluster) freeAddress() string {
	l, err := net.Listen("tcp", s.ip+":0")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startProcess starts the process, also again after its end.
func (s *cluster) startProcess(p *process) {
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
	cmd, exited := p.cmd, make(chan struct{})
	p.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
}

func (s *cluster) signal(p *process, sig syscall.Signal) {
	s.t.Helper()
	if err := p.cmd.Process.Signal(sig); err != nil {
		s.t.Fatalf("signal %v to %s: %v", sig, p.name, err)
	}
}

// await repeats the check until it succeeds or the time is over.
func (s *cluster) await(within time.Duration, what string, check func() error) {
	s.t.Helper()
	var err error
	if s.poll(within, func() bool { err = check(); return err == nil }) {
		return
	}
	s.t.Fatalf("not within %s: %s: %v", within, what, err)
}

// requireThroughout repeats the check for the time; it has to succeed each time.
func (s *cluster) requireThroughout(duration time.Duration, what string, check func() error) {
	s.t.Helper()
	var err error
	if s.poll(duration, func() bool { err = check(); return err != nil }) {
		s.t.Fatalf("%s: %v", what, err)
	}
}

// poll repeats the check until it is true, and reports whether it was before
// the time was over. A check that began in time counts.
func (*cluster) poll(duration time.Duration, check func() bool) bool {
	end, ticker := clk.Now().Add(duration), clk.NewTicker(25*time.Millisecond)
	defer ticker.Stop()
	for clk.Now().Before(end) {
		if check() {
			return true
		}
		<-ticker.Chan()
	}
	return false
}
