// Command standin runs one simulated external system: the platform, an engine
// instance or a plain service. Tests, experiments and demonstrations start each
// system as a process on loopback.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"cuminbay/internal/domain/roster"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/logging"
	"cuminbay/internal/standin/engine"
	"cuminbay/internal/standin/platform"
	"cuminbay/internal/standin/service"
)

type listenOptions struct {
	Listen string `long:"listen" required:"true" description:"IP number and port to listen on"`
}

type server interface {
	Serve(l net.Listener) error
	Close() error
}

// serve runs the server until it fails or the process receives SIGTERM or SIGINT.
func (l *listenOptions) serve(name string, s server) error {
	log, err := logging.New(os.Stderr, "info", clock.Real())
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return fmt.Errorf("%s: open listener: %w", name, err)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	log.Info().Str("standin", name).Stringer("address", listener.Addr()).Msg("listening")
	select {
	case err = <-served:
	case <-stop:
		err = s.Close()
	}
	log.Info().Str("standin", name).Msg("stopped")
	return err
}

type platformCommand struct {
	listenOptions
	RosterFile string        `long:"roster" description:"file with the first list of instances, a JSON array"`
	RosterLag  time.Duration `long:"roster-lag" default:"500ms" description:"how late changes show in the list of instances"`
}

// Execute runs a simulated platform.
func (c *platformCommand) Execute([]string) error {
	o := platform.Options{Clock: clock.Real(), InstanceLag: c.RosterLag}
	if c.RosterFile != "" {
		text, err := os.ReadFile(c.RosterFile)
		if err != nil {
			return err
		}
		if o.Instances, err = parseRoster(text); err != nil {
			return fmt.Errorf("parse roster file %s: %w", c.RosterFile, err)
		}
	}
	return c.serve("platform", platform.New(o))
}

func parseRoster(text []byte) ([]roster.Instance, error) {
	var list []roster.Instance
	if err := json.Unmarshal(text, &list); err != nil {
		return nil, err
	}
	for i := range list {
		if err := list[i].Check(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

type engineCommand struct {
	listenOptions
	engine.Options
	ObeyFencing string `long:"obey-fencing" choice:"true" choice:"false" default:"true" description:"refuse orders with a lower epoch"`
}

// Execute runs a simulated engine instance.
func (c *engineCommand) Execute([]string) error {
	o := c.Options
	o.Clock, o.IgnoreFencing = clock.Real(), c.ObeyFencing == "false"
	return c.serve("engine", engine.New(o))
}

type serviceCommand struct {
	listenOptions
}

// Execute runs a simulated plain service.
func (c *serviceCommand) Execute([]string) error {
	return c.serve("service", service.New(service.Options{Clock: clock.Real()}))
}

func main() {
	var commands struct {
		Platform platformCommand `command:"platform" description:"key-value service and list of instances"`
		Engine   engineCommand   `command:"engine" description:"one engine instance"`
		Service  serviceCommand  `command:"service" description:"plain service with calls that may not be repeated"`
	}
	_, err := flags.Parse(&commands)
	var flagError *flags.Error
	switch {
	case err == nil, errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
	default:
		os.Exit(1)
	}
}
