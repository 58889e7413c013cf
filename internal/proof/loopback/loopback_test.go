package loopback_test

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/proof/loopback"
)

// TestAddress guards against an address that is allocated twice, and against a port
// that Linux may assign to another socket before the process listens on it.
func TestAddress(t *testing.T) {
	c := qt.New(t)
	raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	c.Assert(err, qt.IsNil)
	firstAssigned, err := strconv.Atoi(strings.Fields(string(raw))[0])
	c.Assert(err, qt.IsNil)
	seen := make(map[string]bool)
	for _, host := range []*loopback.Host{loopback.NewHost(), loopback.NewHost()} {
		for range 1000 {
			address := host.Address()
			c.Assert(seen[address], qt.IsFalse, qt.Commentf("%s was allocated before", address))
			seen[address] = true
			_, port, err := net.SplitHostPort(address)
			c.Assert(err, qt.IsNil)
			n, err := strconv.Atoi(port)
			c.Assert(err, qt.IsNil)
			c.Assert(n < firstAssigned, qt.IsTrue)
		}
		listener, err := net.Listen("tcp", host.Address())
		c.Assert(err, qt.IsNil)
		c.Assert(listener.Close(), qt.IsNil)
	}
}
