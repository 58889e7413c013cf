package site

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// process is a process of the site.
type process struct {
	name    string
	args    []string
	logFile string
	// environment is added to the own one.
	environment []string
	cmd         *exec.Cmd
	exited      chan struct{}
	paused      bool
}

// start starts the process, also again after its end.
func (p *process) start() error {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), p.environment...)
	// A group of its own keeps an interrupt of the tool's terminal away.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited, p.paused = make(chan struct{}), false
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(p.cmd, p.exited)
	return nil
}

func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to a running process.
func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		return nil
	}
	p.paused = s == syscall.SIGSTOP
	return p.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() error {
	if !p.running() {
		return nil
	}
	err := p.cmd.Process.Kill()
	<-p.exited
	return err
}

// pid returns the id of a running process, or 0.
func (p *process) pid() int {
	if !p.running() {
		return 0
	}
	return p.cmd.Process.Pid
}

// newProcess returns a process that logs to a file of its name.
func newProcess(directory, name string, args ...string) *process {
	return &process{name: name, args: args, logFile: filepath.Join(directory, strings.ReplaceAll(name, "/", "-")+".log")}
}
