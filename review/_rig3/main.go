package main

import (
	"fmt"
	"os"
	"runtime"
)

// The results of a case, which are exit codes.
const (
	held    = 0
	broken  = 1
	cantRun = 2
)

// play plays a case and writes its record. It returns whether the rule held.
type play func(recordPath string, trouble bool) (int, error)

var plays = map[string]play{
	"blind":  playBlind,
	"heads":  playHeads,
	"longid": playLongID,
	"poison": playPoison,
	"repair": playRepair,
}

func init() {
	// Processes that are started end with the thread that has started them.
	runtime.LockOSThread()
}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(cantRun)
	}
	result, err := plays[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		os.Exit(cantRun)
	}
	fmt.Fprintln(os.Stderr, "rig3:", [...]string{"the rule held", "the rule was broken"}[result])
	os.Exit(result)
}
