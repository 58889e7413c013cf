// Package logging makes the daemon's logger. The logger writes one line of
// key=value pairs for each event.
package logging

import (
	"io"

	"github.com/rs/zerolog"

	"cuminbay/internal/kernel/clock"
)

// New returns a logger that writes one line of key=value pairs for each event
// to w, with the time of the clock. The level is one of zerolog's names: debug,
// info, warn, error.
func New(w io.Writer, level string, clk clock.Clock) (zerolog.Logger, error) {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), err
	}
	addTimestamp := zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str(zerolog.TimestampFieldName, clk.Now().UTC().Format("2006-01-02T15:04:05.000000Z"))
	})
	return zerolog.New(&keyValueWriter{out: w}).Level(minLevel).Hook(addTimestamp), nil
}
