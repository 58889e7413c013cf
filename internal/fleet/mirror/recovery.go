package mirror

import "time"

// After an outage of the platform, every daemon has to have the changes again within a time that starts
// with the platform's return. The time is the sum of
//
//   - probeInterval, with its jitter: until a daemon that reads from the platform calls it again, counted
//     from the beginning of the call before, which may have hung as the platform returned,
//   - the answer to that call, and the datagrams by which the others learn of it,
//   - the reads of the daemons that follow, some of which may first have called one that is frozen.
//
// probeInterval takes half of the time, whatever the deployment's bound is; the rest is for the reads and for
// slow machines.
const (
	defaultRecovery  = 3 * time.Second
	recoveryPerProbe = 2
)

// probeIntervalFor returns the longest time between two calls to an unavailable platform by a daemon
// that no other source supplies with changes.
func probeIntervalFor(recovery time.Duration) time.Duration {
	if recovery == 0 {
		recovery = defaultRecovery
	}
	return recovery / recoveryPerProbe
}
