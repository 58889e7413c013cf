// Command experiment runs a named experiment on simulated sites. It starts daemons and
// simulated systems on loopback, generates load, injects faults and writes a report.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"cuminbay/internal/experiment/report"
	"cuminbay/internal/experiment/runner"
	"cuminbay/internal/kernel/clock"
)

type options struct {
	Site      string        `long:"site" default:"shrestha" choice:"shrestha" choice:"revelado" description:"modelled site, where the experiment takes one"`
	Seed      uint64        `long:"seed" default:"1" description:"seed of the traffic"`
	Rate      float64       `long:"rate" description:"requests a second, 0 for the experiment's own"`
	Duration  time.Duration `long:"length" default:"24s" description:"time of load of each run, after the warm-up"`
	BinaryDir string        `long:"bin" default:"bin" description:"directory of the programs cuminbay and standin"`
	WorkDir   string        `long:"dir" default:".run/experiment" description:"directory for settings and logs"`
	JSON      string        `long:"json" description:"file for the report as JSON"`
	HTML      string        `long:"html" description:"file for the report as a page"`
	Args      struct {
		Name string `positional-arg-name:"experiment" description:"overhead, policies, move, failures, slopes or claims"`
	} `positional-args:"true" required:"true"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if err := run(&o); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func run(o *options) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	r, err := runner.Run(ctx, o.Args.Name, runner.Options{
		Clock: clock.Real(), BinaryDir: o.BinaryDir, WorkDir: o.WorkDir, Site: o.Site, Seed: o.Seed, Rate: o.Rate,
		Duration: o.Duration, Progress: os.Stderr, Command: "scripts/experiment " + strings.Join(os.Args[1:], " "),
	})
	if r == nil {
		return err
	}
	return errors.Join(err, writeReport(r, o))
}

func writeReport(r *report.Report, o *options) error {
	err := r.WriteText(os.Stdout)
	for _, f := range []struct {
		path  string
		write func(io.Writer) error
	}{{o.JSON, r.WriteJSON}, {o.HTML, r.WriteHTML}} {
		if f.path != "" {
			err = errors.Join(err, writeFile(f.path, f.write))
		}
	}
	return err
}

func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}
