package misbehaving

import (
	"time"

	"cuminbay/internal/kernel/clock"
)

// DescriptorLimit is the limit of file descriptors of a daemon that is tested. descriptorBound leaves
// some of them for servers, the store and other daemons.
const (
	DescriptorLimit = 256
	descriptorBound = 240
)

// The numbers of connections of a behaviour, for requests with large bodies and for small ones.
const (
	connections     = 120
	manyConnections = 300
)

// Check is a check of a daemon while misbehaving clients are connected.
type Check struct {
	Clock clock.Clock
	// PID is the daemon's process, which is to use at most Memory bytes.
	PID    int
	Memory int64
	// Target has what the clients send, and Body is the largest body that the daemon accepts.
	Target Target
	Body   int
}

// Behaviours returns the behaviours to check.
func (k *Check) Behaviours() map[string]Behaviour {
	return Behaviours(k.Body, connections, manyConnections)
}

// Run opens the connections and measures the process. It then calls awaitServed, which waits until
// ordinary callers are served, while the clients are connected. It returns the highest usage, and an
// error if the process has ended or exceeds a bound.
func (k *Check) Run(b Behaviour, awaitServed func()) (Usage, error) {
	const hold, interval = 1500 * time.Millisecond, 50 * time.Millisecond
	clients := Open(k.Clock, k.Target, b)
	defer clients.Close()
	const daemon = "daemon"
	peaks := make(Peaks)
	for until := k.Clock.Now().Add(hold); k.Clock.Now().Before(until); k.Clock.Sleep(interval) {
		if err := peaks.Measure(daemon, k.PID); err != nil {
			return peaks[daemon], err
		}
	}
	awaitServed()
	if err := peaks.Measure(daemon, k.PID); err != nil {
		return peaks[daemon], err
	}
	return peaks[daemon], peaks.Check(k.Memory, descriptorBound)
}
