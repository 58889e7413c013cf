// Package process_test checks the promises of the design page end to end. Each
// test runs daemons and simulated systems as processes on loopback, and kills,
// pauses or disconnects some of them.
package process_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cuminbay/internal/domain/roster"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/proof/loopback"
)

// answerTokens is the length of the engines' answers. With tokenTime a stream
// takes about a second, so that a fault can occur while the stream runs.
const (
	answerTokens = 100
	tokenTime    = "10ms"
)

var (
	clk = clock.Real()
	// binaryDir is the directory of the built programs.
	binaryDir string
	// clusterSlots limits the number of clusters that run at once.
	clusterSlots = make(chan struct{}, 3)
)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs and runs the tests.
func buildAndRun(m *testing.M) int {
	var err error
	if binaryDir, err = os.MkdirTemp("", "cuminbay-process-"); err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(binaryDir) }()
	build := exec.Command("go", "build", "-buildvcs=false", "-o", binaryDir, "cuminbay/cmd/cuminbay", "cuminbay/cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("go build: %v\n%s", err, output))
	}
	return m.Run()
}

// clusterSize is the size of a cluster. The counts are per data centre.
type clusterSize struct {
	dataCentres []string
	daemons     int
	engines     int
	replicas    int
	services    int
	limits      processLimits
}

// processLimits are limits of each daemon. Zero means the default.
type processLimits struct {
	// memory is the setting daemon.memory, in megabytes.
	memory int
	// descriptors is the number of file descriptors.
	descriptors int
	// maxBody is the setting openai.maxBody, in bytes.
	maxBody int
	// daemonConnections is the setting budget.daemonConnections.
	daemonConnections int
}

// daemon is the process of a daemon, with the addresses of its listeners.
type daemon struct {
	*process
	dataCentre, callerAddress, operatorAddress, peerAddress string
}

// cluster is a simulated platform with its daemons, engines and services.
type cluster struct {
	t        testing.TB
	dir      string
	host     *loopback.Host
	platform *process
	daemons  []*daemon
	// engines and services are keyed by instance id.
	engines, services map[string]*process
	roster            []roster.Instance
	limits            processLimits
}

// process is a program with its arguments. cmd and exited belong to the last start
// of the program; exited is closed when the program has ended.
type process struct {
	name, address string
	args          []string
	// descriptors is the limit of file descriptors, zero if there is none.
	descriptors int
	cmd         *exec.Cmd
	exited      chan struct{}
}

// startCluster starts a cluster and waits until all its replicas and services are
// routed to. The cluster is stopped at the end of the test.
func startCluster(t testing.TB, size clusterSize) *cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	s := &cluster{t: t, host: loopback.NewHost(), engines: make(map[string]*process), services: make(map[string]*process), limits: size.limits}
	var err error
	if s.dir, err = os.MkdirTemp("", "cuminbay-site-"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.stop)
	s.startProcesses(size)
	s.writeRecords(size)
	s.awaitServing(size.replicas, size.services)
	return s
}

// stop kills the processes of the cluster. The logs are kept if the test failed.
func (s *cluster) stop() {
	processes := []*process{s.platform}
	for _, d := range s.daemons {
		processes = append(processes, d.process)
	}
	for _, group := range []map[string]*process{s.engines, s.services} {
		for _, p := range group {
			processes = append(processes, p)
		}
	}
	for _, p := range processes {
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
	s.t.Logf("the logs are kept in %s", s.dir)
	for _, d := range s.daemons {
		s.t.Logf("last lines of the log of %s:\n%s", d.name, lastLines(filepath.Join(s.dir, d.name+".log")))
	}
}

// lastLines returns the last lines of a file, at most maxLines, or an empty string
// if the file can't be read.
func lastLines(path string) string {
	raw, _ := os.ReadFile(path)
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	const maxLines = 12
	return strings.Join(lines[max(len(lines)-maxLines, 0):], "\n")
}

// startProcesses chooses the addresses, writes the settings and the list of
// instances, and starts the processes.
func (s *cluster) startProcesses(size clusterSize) {
	s.platform = &process{name: "platform", address: s.host.Address()}
	var toStart []*process
	for _, dataCentre := range size.dataCentres {
		for n := range size.daemons {
			d := &daemon{process: &process{name: fmt.Sprintf("daemon-%s-%d", dataCentre, n)}, dataCentre: dataCentre, callerAddress: s.host.Address(), operatorAddress: s.host.Address(), peerAddress: s.host.Address()}
			d.descriptors = size.limits.descriptors
			d.args = []string{"cuminbay", "serve", "--settings", filepath.Join(s.dir, d.name+".json")}
			s.daemons, toStart = append(s.daemons, d), append(toStart, d.process)
			s.addInstance(roster.Instance{ID: instanceID(d.name), DataCentre: dataCentreID(dataCentre), Role: roster.Daemon, Address: d.peerAddress, CallerAddress: d.callerAddress})
		}
		for n := range size.engines {
			p := &process{name: fmt.Sprintf("engine-%s-%d", dataCentre, n), address: s.host.Address()}
			p.args = []string{
				"standin", "engine", "--listen", p.address, "--instance", p.name, "--data-centre", dataCentre, "--domain", dataCentre + "-fabric",
				"--load-time", "200ms", "--cold-time", "300ms", "--answer-tokens", fmt.Sprint(answerTokens), "--token-time", tokenTime,
			}
			s.engines[p.name], toStart = p, append(toStart, p)
			s.addInstance(roster.Instance{ID: instanceID(p.name), DataCentre: dataCentreID(dataCentre), Role: roster.Engine, Address: p.address, Domain: fabricDomain(dataCentre), Accelerators: 2})
		}
		for n := range size.services {
			p := &process{name: fmt.Sprintf("ledger-%s-%d", dataCentre, n), address: s.host.Address()}
			p.args = []string{"standin", "service", "--listen", p.address}
			s.services[p.name], toStart = p, append(toStart, p)
			s.addInstance(roster.Instance{ID: instanceID(p.name), DataCentre: dataCentreID(dataCentre), Role: roster.Service, Address: p.address, Service: "ledger"})
		}
	}
	rosterFile := filepath.Join(s.dir, "roster.json")
	s.writeJSON(rosterFile, s.roster)
	s.platform.args = []string{"standin", "platform", "--listen", s.platform.address, "--roster", rosterFile, "--roster-lag", "200ms"}
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

// daemonSettings returns the settings of a daemon. Times that tests wait for are
// shortened. The limits in the design page's promises keep their defaults.
func (s *cluster) daemonSettings(d *daemon) map[string]any {
	type section map[string]any
	var seeds []section
	for _, other := range s.daemons {
		if other != d {
			seeds = append(seeds, section{"instance": other.name, "dataCentre": other.dataCentre, "address": other.peerAddress})
		}
	}
	return map[string]any{
		"daemon":   section{"instance": d.name, "dataCentre": d.dataCentre, "stopLimit": "10s", "logLevel": "debug", "memory": s.limits.memory},
		"openai":   section{"listen": d.callerAddress, "leaveDelay": "300ms", "maxBody": cmp.Or(s.limits.maxBody, 64<<10)},
		"operator": section{"listen": d.operatorAddress},
		"budget":   section{"daemonConnections": s.limits.daemonConnections},
		"peer":     section{"listen": d.peerAddress},
		"member":   section{"seeds": seeds, "address": d.peerAddress, "caller": d.callerAddress},
		"platform": section{"addresses": []string{s.platform.address}, "timeout": "1s"},
		"roster":   section{"url": "http://" + s.platform.address + "/instances", "interval": "300ms"},
		"engine":   section{"silence": stallTimeout.String()},
		"plan":     section{"interval": "300ms", "grace": "1s", "hold": "1s", "leaseTTL": leaseTTL.String(), "settle": "1s", "drainLimit": "5s"},
	}
}

// stallTimeout is the time without data after which a connection counts as
// stalled. leaseTTL is the time to live of the planner's lease.
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

// startProcess starts the process, or starts it again after it has ended.
func (s *cluster) startProcess(p *process) {
	s.t.Helper()
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(filepath.Join(binaryDir, p.args[0]), p.args[1:]...)
	if p.descriptors > 0 {
		script := fmt.Sprintf(`ulimit -n %d; exec "$@"`, p.descriptors)
		p.cmd = exec.Command("sh", append([]string{"-c", script, "sh"}, p.cmd.Args...)...)
	}
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

// await repeats the check until it succeeds, and fails the test after the timeout.
func (s *cluster) await(timeout time.Duration, condition string, check func() error) {
	s.t.Helper()
	var err error
	if s.poll(timeout, func() bool { err = check(); return err == nil }) {
		return
	}
	s.t.Fatalf("condition not met within %s: %s: %v", timeout, condition, err)
}

// requireThroughout repeats the check for the duration, and fails the test if a
// check fails.
func (s *cluster) requireThroughout(duration time.Duration, condition string, check func() error) {
	s.t.Helper()
	var err error
	if s.poll(duration, func() bool { err = check(); return err != nil }) {
		s.t.Fatalf("condition violated: %s: %v", condition, err)
	}
}

// poll repeats the check until it returns true or the duration is over, and reports
// whether the check returned true. A check that begins in time may end later.
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
