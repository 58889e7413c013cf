package misbehaving

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
)

// Usage is what a process uses.
type Usage struct {
	// PeakMemory is the highest resident memory since the start, in bytes.
	PeakMemory int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// usageOf returns what the process uses. It fails if the process has ended.
func usageOf(pid int) (Usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, err
	}
	var u Usage
	for line := range strings.Lines(string(raw)) {
		if value, isPeak := strings.CutPrefix(line, "VmHWM:"); isPeak {
			if _, err := fmt.Sscan(value, &u.PeakMemory); err != nil {
				return Usage{}, err
			}
			u.PeakMemory <<= 10
		}
	}
	if u.PeakMemory == 0 {
		return Usage{}, fmt.Errorf("process %d has ended", pid)
	}
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.Descriptors = len(entries)
	return u, err
}

// Peaks has the highest usage of daemons by their names.
type Peaks map[string]Usage

// Measure adds the present usage of a daemon's process. It fails if the process has ended.
func (p Peaks) Measure(daemon string, pid int) error {
	u, err := usageOf(pid)
	if err != nil {
		return fmt.Errorf("%s: %w", daemon, err)
	}
	u.Descriptors = max(u.Descriptors, p[daemon].Descriptors)
	p[daemon] = u
	return nil
}

// Check returns an error if a daemon exceeded the bounds of the memory in bytes and of the descriptors.
func (p Peaks) Check(memory int64, descriptors int) error {
	var errs []error
	for _, daemon := range slices.Sorted(maps.Keys(p)) {
		peak := p[daemon]
		if peak.PeakMemory > memory {
			errs = append(errs, fmt.Errorf("%s: resident memory reached %d MB of %d", daemon, peak.PeakMemory>>20, memory>>20))
		}
		if peak.Descriptors > descriptors {
			errs = append(errs, fmt.Errorf("%s: %d descriptors were open, the bound is %d", daemon, peak.Descriptors, descriptors))
		}
	}
	return errors.Join(errs...)
}
