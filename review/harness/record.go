package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"cuminbay/internal/kernel/clock"
)

// record has what was sent, answered and run, in order of time.
type record struct {
	clock clock.Clock
	start time.Time

	mu    sync.Mutex
	lines []string
}

// printf adds a line with the time since the start of the case.
func (r *record) printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%9.3f  ", r.clock.Since(r.start).Seconds())+fmt.Sprintf(format, arguments...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
