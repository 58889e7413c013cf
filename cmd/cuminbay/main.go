// Command cuminbay runs a daemon, and has the subcommands by which operators
// control daemons.
package main

import (
	"os"

	"cuminbay/internal/command/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr}))
}
