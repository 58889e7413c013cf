// Package loopback allocates listen addresses for processes that tests start.
package loopback

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

const (
	// octetRange is the number of values that are used for an octet of a host.
	octetRange = 250
	// firstPort and lastPort lie below the ports that Linux assigns by itself, so
	// that no outgoing connection takes a port before the process listens on it.
	firstPort = 10000
	lastPort  = 29999
)

// hostCount is the number of hosts allocated by this process.
var hostCount atomic.Int64

// Host is an address of the loopback network with its own sequence of ports. No
// other host of this or another running test process has the same address.
type Host struct {
	ip   string
	next atomic.Int64
}

// NewHost returns a host whose address is not in use.
func NewHost() *Host {
	pid, n := os.Getpid(), int(hostCount.Add(1))
	h := &Host{ip: fmt.Sprintf("127.%d.%d.%d", 1+pid/octetRange%octetRange, 1+pid%octetRange, n)}
	h.next.Store(firstPort)
	return h
}

// Address returns an address on which the host has not listened before. It panics
// when all ports are allocated.
func (h *Host) Address() string {
	port := h.next.Add(1) - 1
	if port > lastPort {
		panic(fmt.Sprintf("loopback: host %s: all ports up to %d are allocated", h.ip, lastPort))
	}
	return net.JoinHostPort(h.ip, strconv.FormatInt(port, 10))
}
