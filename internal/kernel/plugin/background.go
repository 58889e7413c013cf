package plugin

import (
	"context"
	"sync"
	"time"

	"cuminbay/internal/kernel/clock"
)

// BackgroundTasks runs background work of a plug-in. Plug-ins embed it to get Stop. The
// zero value is ready.
type BackgroundTasks struct {
	initOnce sync.Once
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

func (l *BackgroundTasks) initContext() {
	l.initOnce.Do(func() { l.ctx, l.cancel = context.WithCancel(context.Background()) })
}

// Go runs f until it returns. Its context ends when Stop is called.
func (l *BackgroundTasks) Go(f func(ctx context.Context)) {
	l.initContext()
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		f(l.ctx)
	}()
}

// Every runs f now and then once an interval, with jitter, until Stop.
func (l *BackgroundTasks) Every(clk clock.Clock, interval time.Duration, f func(ctx context.Context)) {
	l.Go(func(ctx context.Context) {
		for {
			f(ctx)
			if !Sleep(ctx, clk, clock.Jitter(interval)) {
				return
			}
		}
	})
}

// Stop ends the loops and waits for them within the context's time.
func (l *BackgroundTasks) Stop(ctx context.Context) error {
	l.initContext()
	l.cancel()
	done := make(chan struct{})
	go func() {
		l.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Sleep waits for the duration and reports whether it passed before the
// context ended.
func Sleep(ctx context.Context, clk clock.Clock, d time.Duration) bool {
	return SleepOrWake(ctx, clk, d, nil)
}

// SleepOrWake is Sleep that ends early when wake is ready; a nil channel never is.
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
