// Command standin runs the stand-ins of the outside systems, each as a process
// of its own on loopback.
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

// serve runs the server until SIGTERM or SIGINT.
func (l *listenOptions) serve(name string, s server) error {
	log, err := logging.New(os.Stderr, "info", clock.Real())
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", l.Listen)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
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
	Roster string        `long:"roster" description:"file with the first list of instances, a JSON array"`
	Lag    time.Duration `long:"roster-lag" default:"500ms" description:"how late changes show in the list of instances"`
}

// Execute runs the platform.
func (c *platformCommand) Execute([]string) error {
	o := platform.Options{Clock: clock.Real(), InstanceLag: c.Lag}
	if c.Roster != "" {
		text, err := os.ReadFile(c.Roster)
		if err != nil {
			return err
		}
		if o.Instances, err = parseRoster(text); err != nil {
			return fmt.Errorf("roster file %s: %w", c.Roster, err)
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
	Fencing string `long:"obey-fencing" choice:"true" choice:"false" default:"true" description:"refuse orders with a lower epoch"`
}

// Execute runs an engine.
func (c *engineCommand) Execute([]string) error {
	o := c.Options
	o.Clock, o.IgnoreFencing = clock.Real(), c.Fencing == "false"
	return c.serve("engine", engine.New(o))
}

type serviceCommand struct {
	listenOptions
}

// Execute runs a plain service.
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
