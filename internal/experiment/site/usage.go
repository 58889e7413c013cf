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

// Usage is the resource usage of a daemon's process since its start.
type Usage struct {
	Instance ident.Instance `json:"instance"`
	// PID distinguishes the processes of a daemon before and after a restart.
	PID int `json:"pid"`
	// CPU is the CPU time in seconds, Memory the resident set size in bytes.
	CPU    float64 `json:"cpu"`
	Memory int64   `json:"memory"`
	// PeerBytes is the number of bytes sent to and received from other daemons.
	PeerBytes float64 `json:"peerBytes"`
	// ClaimWrites is the number of platform writes that stored claims,
	// ConfirmedClaims the number of claims that these writes confirmed.
	ClaimWrites     float64 `json:"claimWrites"`
	ConfirmedClaims float64 `json:"claims"`
}

// PlatformCalls holds the platform's counts of reads and writes since its start, and
// of open watches.
type PlatformCalls struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
}

// Sample holds the usage of the running daemons and the platform's counts at one
// time of the run.
type Sample struct {
	At            time.Duration `json:"at"`
	Daemons       []Usage       `json:"daemons"`
	PlatformCalls PlatformCalls `json:"calls"`
}

// TakeSample reads the usage of all running daemons and the platform's counts. If a
// read fails, TakeSample returns the error together with the other values.
func (s *Site) TakeSample(start time.Time) (Sample, error) {
	sample := Sample{At: s.Clock.Since(start)}
	err := s.control.get("http://"+s.platform+"/count", &sample.PlatformCalls)
	for i := range s.daemons {
		d := &s.daemons[i]
		s.mu.Lock()
		pid := s.processes[d.Instance].pid()
		s.mu.Unlock()
		if pid == 0 {
			continue
		}
		usage := Usage{Instance: d.Instance, PID: pid}
		if e := usage.ReadProc(); e != nil {
			err = e
		}
		if e := s.readMetrics(d, &usage); e != nil {
			err = e
		}
		sample.Daemons = append(sample.Daemons, usage)
	}
	return sample, err
}

// ticksPerSecond is the unit of CPU times in /proc, which is fixed on Linux.
const ticksPerSecond = 100

// ReadProc reads the CPU time and the memory of the process from /proc.
func (u *Usage) ReadProc() error {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", u.PID))
	if err != nil {
		return err
	}
	// The program name in parentheses may contain spaces, so the fields are
	// counted from the closing parenthesis: index 0 is field 3. Fields 14 and 15
	// are the user and system time, field 24 is the number of resident pages.
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	const user, system, pages = 14 - 3, 15 - 3, 24 - 3
	if len(fields) <= pages {
		return fmt.Errorf("parse /proc/%d/stat: got %d fields after the program name, expected at least 22", u.PID, len(fields))
	}
	var values [3]int64
	for i, f := range [...]int{user, system, pages} {
		if values[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return err
		}
	}
	u.CPU = float64(values[0]+values[1]) / ticksPerSecond
	u.Memory = values[2] * int64(os.Getpagesize())
	return nil
}

// readMetrics adds the counters of a daemon's metrics to the usage.
func (s *Site) readMetrics(d *Daemon, u *Usage) error {
	status, body, err := s.control.http.GetTimeout(nil, "http://"+d.OperatorAddress+"/metrics", callTimeout)
	if err != nil {
		return fmt.Errorf("read metrics of %s: %w", d.Instance, err)
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("read metrics of %s: got HTTP status %d, expected 200", d.Instance, status)
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
			u.ConfirmedClaims = v
		}
	}
	return nil
}
