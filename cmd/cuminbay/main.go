// Command cuminbay is the daemon and its operators' commands.
package main

import (
	"os"

	"cuminbay/internal/command/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr}))
}
