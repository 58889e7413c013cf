package site

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
)

// process is a program with its arguments. cmd and exited belong to the last start
// of the program; exited is closed when the program has ended.
type process struct {
	name    string
	args    []string
	logFile string
	// environment is added to the environment of this process.
	environment []string
	cmd         *exec.Cmd
	exited      chan struct{}
	paused      bool
}

// start starts the process, or starts it again after it has ended.
func (p *process) start() error {
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = append(os.Environ(), p.environment...)
	// In a process group of its own, the process does not receive the interrupt
	// from the terminal of the experiment tool.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited, p.paused = make(chan struct{}), false
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
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

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		return nil
	}
	p.paused = s == syscall.SIGSTOP
	return p.cmd.Process.Signal(s)
}

// kill kills the process if it is running, and waits until it has ended.
func (p *process) kill() error {
	if !p.running() {
		return nil
	}
	err := p.cmd.Process.Kill()
	<-p.exited
	return err
}

// pid returns the process id, or 0 if the process is not running.
func (p *process) pid() int {
	if !p.running() {
		return 0
	}
	return p.cmd.Process.Pid
}

// newProcess returns a process whose log file is named after the process.
func newProcess(directory, name string, args ...string) *process {
	return &process{name: name, args: args, logFile: filepath.Join(directory, strings.ReplaceAll(name, "/", "-")+".log")}
}
