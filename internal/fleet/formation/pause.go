package formation

import "time"

// pauseDetector finds out that the planner didn't run for a time, since the process was
// paused or the machine suspended. What it was permitted to do may have ended meanwhile.
type pauseDetector struct {
	limit   time.Duration
	lastRun time.Time
}

// ranAt records a run and reports whether the previous one was longer than the limit ago.
func (d *pauseDetector) ranAt(now time.Time) bool {
	paused := !d.lastRun.IsZero() && now.Sub(d.lastRun) > d.limit
	d.lastRun = now
	return paused
}

// reset forgets the last run, as no further one is due.
func (d *pauseDetector) reset() {
	d.lastRun = time.Time{}
}
