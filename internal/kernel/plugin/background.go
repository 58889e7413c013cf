package plugin

import (
	"context"
	"sync"
	"time"

	"cuminbay/internal/kernel/clock"
)

// BackgroundTasks runs the background tasks of a plug-in. Plug-ins embed the
// type to get Stop. The zero value is ready for use.
type BackgroundTasks struct {
	initOnce sync.Once
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

func (t *BackgroundTasks) initContext() {
	t.initOnce.Do(func() { t.ctx, t.cancel = context.WithCancel(context.Background()) })
}

// Go runs f in a goroutine. Stop cancels the context of f.
func (t *BackgroundTasks) Go(f func(ctx context.Context)) {
	t.initContext()
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		f(t.ctx)
	}()
}

// Every runs f immediately and again an interval after each run ends, with jitter,
// until Stop.
func (t *BackgroundTasks) Every(clk clock.Clock, interval time.Duration, f func(ctx context.Context)) {
	t.Go(func(ctx context.Context) {
		for {
			f(ctx)
			if !Sleep(ctx, clk, clock.Jitter(interval)) {
				return
			}
		}
	})
}

// Stop cancels the tasks and waits until they have returned or the context
// ends.
func (t *BackgroundTasks) Stop(ctx context.Context) error {
	t.initContext()
	t.cancel()
	done := make(chan struct{})
	go func() {
		t.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Sleep waits for the duration. It reports whether the duration passed before
// the context ended.
func Sleep(ctx context.Context, clk clock.Clock, d time.Duration) bool {
	return SleepOrWake(ctx, clk, d, nil)
}

// SleepOrWake waits like Sleep, but returns true early if wake is ready. A nil
// channel is never ready.
func SleepOrWake(ctx context.Context, clk clock.Clock, d time.Duration, wake <-chan struct{}) bool {
	timer := clk.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}

// Wake makes the channel, which has a capacity of one, ready if it is not. A nil channel stays as it is.
func Wake(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
