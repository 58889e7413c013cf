// Package cli implements the subcommands of the program cuminbay: serve runs a
// daemon, and the other subcommands call a daemon's API for operators or check
// files.
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
)

// The exit codes of the program.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitSettings = 3
	ExitRace     = 4
	ExitNotFound = 5
)

// Streams are the outputs of a command.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// command is a subcommand. go-flags sets its fields and calls Execute.
type command interface {
	Execute(args []string) error
}

// subcommand is a command with its name and its help texts.
type subcommand struct {
	name    string
	short   string
	long    string
	command command
}

// Run runs the program and returns the exit code. The arguments do not include
// the program's name.
func Run(args []string, s Streams) int {
	parser := flags.NewNamedParser("cuminbay", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Serving for language models that span instances, and for the plain services beside them."
	for _, c := range subcommands(s) {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.command); err != nil {
			return printError(s, err)
		}
	}
	_, err := parser.ParseArgs(args)
	return exitCode(s, err)
}

func subcommands(s Streams) []subcommand {
	return []subcommand{
		{"serve", "Run a daemon", "Runs a daemon until it gets SIGTERM or SIGINT, then waits for requests in flight and stops.", &serveCommand{streams: s}},
		{"check", "Check settings and records without starting", "Checks a settings file and, with --record, files with records.", &checkCommand{streams: s}},
		{"record", "Read and write records", "Lists, shows, writes and withdraws operators' records.", newRecordCommand(s)},
		{"drain", "Take a data centre or instance out of service", "Marks a data centre or an instance as out of service; it gets no new requests.", &drainCommand{streams: s, method: fasthttp.MethodPut}},
		{"restore", "Return a data centre or instance to service", "Marks a data centre or an instance as in service.", &drainCommand{streams: s, method: fasthttp.MethodDelete}},
		{"status", "Print a daemon's status", "Prints the status of a daemon, its replicas and its endpoints.", &statusCommand{streams: s}},
		{"explain", "Say where a request would go", "Asks a daemon with the platform adapter where a request would go now, without sending it, and prints the candidates with the terms of the choice, or the reason of a refusal.", &explainCommand{streams: s}},
		{"timeline", "Print the events of all daemons", "Prints the events of all daemons in the order of a hybrid logical clock.", &timelineCommand{streams: s}},
		{"version", "Print the version", "Prints the version of the program and of its formats.", &versionCommand{streams: s}},
	}
}

// exitCode prints the error and returns the exit code for it.
func exitCode(s Streams, err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return usageExitCode(s, usage)
	default:
		return printError(s, err)
	}
}

func usageExitCode(s Streams, err *flags.Error) int {
	if err.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(s.Out, err.Message)
		return ExitOK
	}
	_, _ = fmt.Fprintln(s.Err, err.Message)
	return ExitUsage
}

func printError(s Streams, err error) int {
	c := code.Of(err)
	_, _ = fmt.Fprintf(s.Err, "cuminbay: %s: %s\n", c, code.Message(err))
	switch c {
	case code.BadSettings, code.BadRecord, code.UnknownSchema:
		return ExitSettings
	case code.RecordRace:
		return ExitRace
	case code.NoSuchRecord:
		return ExitNotFound
	default:
		return ExitFailure
	}
}
