package budget

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/settings"
)

const section = "budget"

// Settings holds the settings section "budget".
type Settings struct {
	// Share is the share of daemon.memory, or of the machine's memory if that is zero, that requests and answers of callers may hold.
	Share float64 `json:"share" validate:"gt=0,max=0.9"`
	// Connections is the highest number of connections of callers; zero means five sixteenths of the file descriptors. Two sixteenths are for relayed requests, one for readiness checks and one for operators; the rest is for servers, the store and other daemons, as each request that runs takes a connection to a server.
	Connections int `json:"connections" validate:"min=0"`
	// AddressShare is the share of the bytes and connections above which those of one peer address are ended before those of others when there is no room. Callers behind one load balancer share an address.
	AddressShare float64 `json:"addressShare" validate:"min=0.5,max=1"`
	// MinRate is the rate in bytes a second below which a connection counts as slow. Slow connections are ended only when there is no room.
	MinRate unit.Bytes `json:"minRate" validate:"min=1"`
	// Grace is the time after which a connection can count as slow, and the time without a byte after which it counts as stalled. Stalled connections are ended only when there is no room.
	Grace settings.Duration `json:"grace" validate:"duration"`
	// WriteTimeout is the longest time in which a caller of the product's own interface reads 64 kB of an answer. The adapter's callers have 5 s for each part.
	WriteTimeout settings.Duration `json:"writeTimeout" validate:"duration"`
	// DaemonShare is the share of daemon.memory, or of the machine's memory if that is zero, that requests and answers at the ports for other daemons may hold.
	DaemonShare float64 `json:"daemonShare" validate:"gt=0,max=0.5"`
	// ReplyShare is the share of daemon.memory, or of the machine's memory if that is zero, that replies of servers may hold while they are read. Each may hold 8 kB beside it.
	ReplyShare float64 `json:"replyShare" validate:"gt=0,max=0.5"`
	// DaemonConnections is the highest number of connections at the ports for other daemons; zero means 1024, but not more than a sixteenth of the file descriptors. A fleet of 295 daemons needs up to 882, so the process should have 16384 descriptors there.
	DaemonConnections int `json:"daemonConnections" validate:"min=0"`
	// Wait is the longest time for which a request that is being read waits for room before it is refused.
	Wait settings.Duration `json:"wait" validate:"duration"`
}

func init() {
	settings.Register(section, func() any {
		return &Settings{
			Share: 0.25, AddressShare: 0.5, MinRate: 4 << 10,
			Grace: settings.DurationOf(time.Second), Wait: settings.DurationOf(time.Second),
			WriteTimeout: settings.DurationOf(30 * time.Second), DaemonShare: 0.125, ReplyShare: 0.125,
		}
	})
}

// The shares of the file descriptors, in sixteenths.
const (
	descriptorParts = 16
	callerParts     = 5
	relayParts      = 2
)

// mostDaemonConnections leaves room for three connections of each other daemon of a fleet of 295: one
// for exchanges, one for questions, and one that the other daemon has given up.
const mostDaemonConnections = 1024

// FromSettings returns the budget that the settings describe.
//
// Errors carry code.BadSettings.
func FromSettings(s *settings.Settings, clk clock.Clock, log zerolog.Logger) (*Budget, error) {
	own := s.Section(section).(*Settings)
	memory := unit.Bytes(s.Daemon.Memory) << 20
	if memory == 0 {
		raw, err := os.ReadFile("/proc/meminfo")
		if err == nil {
			memory, err = totalMemory(string(raw))
		}
		if err != nil {
			return nil, code.BadSettings.Wrap(err, "daemon.memory is zero, and the machine's memory is not known")
		}
	}
	var descriptors unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors); err != nil {
		return nil, code.BadSettings.Wrap(err, "read the limit of file descriptors")
	}
	const mostDescriptors = 1 << 20
	part := max(1, int(min(descriptors.Cur, mostDescriptors))/descriptorParts)
	connections := own.Connections
	if connections == 0 {
		connections = callerParts * part
	}
	options := Options{
		Clock: clk, Log: log, Capacity: unit.Bytes(own.Share * float64(memory)),
		KeptConnections: part,
		Connections:     map[Kind]int{Callers: connections, Relays: relayParts * part, Readiness: part, Operators: part},
		AddressShare:    own.AddressShare, MinRate: own.MinRate, Grace: own.Grace.Duration, Wait: own.Wait.Duration, WriteTimeout: own.WriteTimeout.Duration,
	}
	b := New(options)
	options.Capacity, options.Connections = unit.Bytes(own.DaemonShare*float64(memory)), map[Kind]int{Daemons: own.daemonConnections(part)}
	b.addDaemons(options)
	options.Capacity = unit.Bytes(own.ReplyShare * float64(memory))
	b.setReplies(options)
	return b, nil
}

// daemonConnections returns the highest number of connections at the ports for other daemons. The part
// is a sixteenth of the file descriptors.
func (s *Settings) daemonConnections(part int) int {
	if s.DaemonConnections > 0 {
		return s.DaemonConnections
	}
	return min(part, mostDaemonConnections)
}

// totalMemory returns the machine's memory from the content of /proc/meminfo.
func totalMemory(content string) (unit.Bytes, error) {
	for line := range strings.Lines(content) {
		value, isTotal := strings.CutPrefix(line, "MemTotal:")
		if !isTotal {
			continue
		}
		var kilobytes int64
		if _, err := fmt.Sscan(value, &kilobytes); err != nil {
			return 0, fmt.Errorf("parse MemTotal: %w", err)
		}
		return unit.Bytes(kilobytes) << 10, nil
	}
	return 0, fmt.Errorf("no line MemTotal in %d bytes", len(content))
}
