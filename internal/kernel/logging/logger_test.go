package logging_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"cuminbay/internal/kernel/logging"
)

// TestLine guards against a value that breaks a line into other pairs, against lost
// fields, and against a line in which time, level and event are not the first fields.
func TestLine(t *testing.T) {
	const start = "time=2026-12-04T10:00:00.000000Z "
	tests := map[string]struct {
		write func(zerolog.Logger)
		want  string
	}{
		"no fields":           {write: func(l zerolog.Logger) { l.Info().Msg("started") }, want: start + "level=info event=started\n"},
		"fields in order":     {write: func(l zerolog.Logger) { l.Warn().Str("b", "x").Int("a", -3).Bool("c", true).Msg("e") }, want: start + "level=warn event=e b=x a=-3 c=true\n"},
		"event with a space":  {write: func(l zerolog.Logger) { l.Info().Msg("a b") }, want: start + "level=info event=\"a b\"\n"},
		"empty value":         {write: func(l zerolog.Logger) { l.Info().Str("a", "").Msg("e") }, want: start + "level=info event=e a=\"\"\n"},
		"value with a pair":   {write: func(l zerolog.Logger) { l.Info().Str("a", "b=c d").Msg("e") }, want: start + "level=info event=e a=\"b=c d\"\n"},
		"quotes and newlines": {write: func(l zerolog.Logger) { l.Info().Str("a", "say \"x,y\"\n\\").Msg("e") }, want: start + "level=info event=e a=\"say \\\"x,y\\\"\\n\\\\\"\n"},
		"text beyond ASCII":   {write: func(l zerolog.Logger) { l.Info().Str("a", "ö").Msg("e") }, want: start + "level=info event=e a=\"ö\"\n"},
		"array":               {write: func(l zerolog.Logger) { l.Info().Interface("a", []string{"x,y", "z"}).Int("b", 1).Msg("e") }, want: start + "level=info event=e a=[\"x,y\",\"z\"] b=1\n"},
		"object":              {write: func(l zerolog.Logger) { l.Info().Interface("a", map[string]int{"x": 1}).Msg("e") }, want: start + "level=info event=e a={\"x\":1}\n"},
		"duration":            {write: func(l zerolog.Logger) { l.Info().Dur("d", 1500*time.Microsecond).Msg("e") }, want: start + "level=info event=e d=1.5\n"},
		"error":               {write: func(l zerolog.Logger) { l.Error().Err(errors.New("a: b")).Msg("e") }, want: start + "level=error event=e error=\"a: b\"\n"},
		"below the level":     {write: func(l zerolog.Logger) { l.Debug().Msg("e") }},
		"context of a logger": {write: func(l zerolog.Logger) { with := l.With().Str("process", "p").Logger(); with.Info().Msg("e") }, want: start + "level=info event=e process=p\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var out bytes.Buffer
			log, err := logging.New(&out, "info", clockwork.NewFakeClockAt(time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)))
			c.Assert(err, qt.IsNil)
			test.write(log)
			c.Check(out.String(), qt.Equals, test.want)
		})
	}
	_, err := logging.New(new(bytes.Buffer), "loud", clockwork.NewFakeClock())
	qt.Check(t, err, qt.IsNotNil)
}
