//go:build review2

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases has the scripted cases by the names of their folders.
var cases = map[string]func(*rig) (broken bool, err error){}

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: review-2 FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1]))
}

// runCase runs the case of the folder and returns the exit code.
func runCase(folder string) int {
	play := cases[filepath.Base(folder)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", folder)
		return exitNotRun
	}
	r, err := newRig(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := play(r)
		done <- outcome{broken, err}
	}()
	var o outcome
	select {
	case o = <-done:
	case <-interrupted:
		o.err = errNotRun
	}
	switch {
	case o.err != nil:
		r.logf("result: not run: %v", o.err)
		return exitNotRun
	case o.broken:
		r.logf("result: broken")
		return exitBroken
	}
	r.logf("result: held")
	return exitHeld
}
