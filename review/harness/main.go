// Command harness plays the cases of the review: it starts daemons as separate processes
// with the command and the settings of the deploy file, and has the stand-ins of the
// platform, the servers and the callers.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"cuminbay/internal/kernel/clock"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// testCase plays one case. It reports whether the rule was broken.
type testCase func(c *cluster, trouble bool) (bool, error)

// testCases has the cases by name. The file of each case adds it.
var testCases = make(map[string]testCase)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	if len(arguments) != 2 || testCases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	c, err := newCluster(clock.Real())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		c.close()
		os.Exit(exitNotRun)
	}()
	broken, err := testCases[arguments[0]](c, trouble)
	c.record.printf("trouble=%t broken=%t error=%v", trouble, broken, err)
	if writeErr := c.record.write(filepath.Join(arguments[1], "record.txt")); writeErr != nil {
		err = errors.Join(err, writeErr)
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
