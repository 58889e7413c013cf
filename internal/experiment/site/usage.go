package site

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/ident"
)

// Usage is what a daemon has used since its start.
type Usage struct {
	Instance ident.Instance `json:"instance"`
	// PID tells two processes of one daemon apart.
	PID int `json:"pid"`
	// CPU is in seconds, Memory the resident set in bytes.
	CPU    float64 `json:"cpu"`
	Memory int64   `json:"memory"`
	// PeerBytes counts both directions.
	PeerBytes float64 `json:"peerBytes"`
	// ClaimWrites and Claims count the platform writes of claims and the
	// claims that they confirmed.
	ClaimWrites float64 `json:"claimWrites"`
	Claims      float64 `json:"claims"`
}

// PlatformCalls are the platform's counts.
type PlatformCalls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Sample is the use of every daemon and the platform's counts at a time.
type Sample struct {
	At      time.Duration `json:"at"`
	Daemons []Usage       `json:"daemons"`
	Calls   PlatformCalls `json:"calls"`
}

// Sample reads the use of all daemons that run.
func (s *Site) Sample(start time.Time) (Sample, error) {
	v := Sample{At: s.Clock.Since(start)}
	err := s.control.get("http://"+s.platform+"/count", &v.Calls)
	for i := range s.daemons {
		d := &s.daemons[i]
		s.mu.Lock()
		pid := s.processes[d.Instance].pid()
		s.mu.Unlock()
		if pid == 0 {
			continue
		}
		u := Usage{Instance: d.Instance, PID: pid}
		if e := u.ReadProc(); e != nil {
			err = e
		}
		if e := s.readMetrics(d, &u); e != nil {
			err = e
		}
		v.Daemons = append(v.Daemons, u)
	}
	return v, err
}

// ticksPerSecond is the kernel's unit of CPU times, a hundredth of a second on Linux.
const ticksPerSecond = 100

// ReadProc reads CPU time and memory of the process from /proc.
func (u *Usage) ReadProc() error {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", u.PID))
	if err != nil {
		return err
	}
	// The name before the parenthesis may contain spaces. Fields 14 and 15
	// are the user and system time, 24 the resident pages.
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	const user, system, pages = 14 - 3, 15 - 3, 24 - 3
	if len(fields) <= pages {
		return fmt.Errorf("/proc/%d/stat: %d fields", u.PID, len(fields))
	}
	var numbers [3]int64
	for i, f := range [...]int{user, system, pages} {
		if numbers[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return err
		}
	}
	u.CPU = float64(numbers[0]+numbers[1]) / ticksPerSecond
	u.Memory = numbers[2] * int64(os.Getpagesize())
	return nil
}

func (s *Site) readMetrics(d *Daemon, u *Usage) error {
	status, body, err := s.control.http.GetTimeout(nil, "http://"+d.OperatorAddress+"/metrics", callTimeout)
	if err != nil || status != fasthttp.StatusOK {
		return fmt.Errorf("metrics of %s: status %d: %w", d.Instance, status, err)
	}
	for line := range strings.Lines(string(body)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			continue
		}
		switch name {
		case "cuminbay_peer_sent_bytes_total", "cuminbay_peer_received_bytes_total":
			u.PeerBytes += v
		case "cuminbay_claim_writes_total":
			u.ClaimWrites = v
		case "cuminbay_claims_total", "cuminbay_claim_confirmed_total":
			u.Claims = v
		}
	}
	return nil
}
