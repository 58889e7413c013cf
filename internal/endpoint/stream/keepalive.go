package stream

import (
	"strconv"
	"strings"
	"time"
)

// keepAliveMarginDivisor determines how long before the end of the announced idle
// time the pool no longer reuses a connection: the idle time divided by this
// number. The endpoint's timer starts earlier than the pool's timer.
const keepAliveMarginDivisor = 4

// parseKeepAlive returns the idle time that a Keep-Alive field allows, at most
// defaultIdleTimeout. Without a valid time it returns defaultIdleTimeout.
func parseKeepAlive(field []byte) time.Duration {
	for parameter := range strings.SplitSeq(string(field), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.ParseFloat(value, 64); err == nil && s > 0 {
			d := time.Duration(s * float64(time.Second))
			return min(d-d/keepAliveMarginDivisor, defaultIdleTimeout)
		}
	}
	return defaultIdleTimeout
}
