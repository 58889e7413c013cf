package code_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/domain/code"
)

// renderPage returns the text that docs/codes.md must have.
func renderPage() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\n" +
		"Every answer, refusal and failure has a numbered code. Errors carry it as `error.code`, its name as `error.type`, and say as `error.outcome` whether the request was run: `not-run`, `ran` or `unknown`. `not-run` is used only if it is certain that no endpoint ran the request. An error may carry another outcome than the default of its code.\n\n" +
		"The thousands digit is the group: 1 answered; 2 not run, the request has to change; 3 not run, may be sent again; 4 ran; 5 unknown whether it ran; 6 operators' and internal errors.\n\n" +
		"A test compares this page with `internal/domain/code`; `UPDATE=1 go test ./internal/domain/code` writes the page.\n\n" +
		"| code | name | HTTP status | outcome | meaning | what to do |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range code.All() {
		status := "-"
		if s.Status != 0 {
			status = fmt.Sprint(s.Status)
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n", s.Code, s.Name, status, s.Outcome, s.Meaning, s.Action)
	}
	return b.String()
}

// TestPage guards against docs/codes.md differing from the specs of the codes.
func TestPage(t *testing.T) {
	c := qt.New(t)
	const path = "../../../docs/codes.md"
	if os.Getenv("UPDATE") != "" {
		c.Assert(os.WriteFile(path, []byte(renderPage()), 0o644), qt.IsNil)
	}
	raw, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(string(raw), qt.Equals, renderPage())
}

// TestGroups guards against a code whose outcome contradicts its group.
func TestGroups(t *testing.T) {
	outcomes := map[code.Code]code.Outcome{
		1: code.Ran, 2: code.NotRun, 3: code.NotRun, 4: code.Ran, 5: code.Unknown,
	}
	for _, s := range code.All() {
		t.Run(s.Name, func(t *testing.T) {
			if want, ok := outcomes[s.Code/1000]; ok {
				qt.Assert(t, s.Outcome, qt.Equals, want)
			}
		})
	}
}

// TestOf guards against an error that loses its code, outcome or retry time when it
// is wrapped.
func TestOf(t *testing.T) {
	cause := errors.New("cause")
	tests := map[string]struct {
		err     error
		code    code.Code
		outcome code.Outcome
		retry   time.Duration
	}{
		"nil":                       {nil, code.Answered, code.Ran, 0},
		"error without a code":      {cause, code.Internal, code.Unknown, 0},
		"error with a code":         {code.CutOff.New("x"), code.CutOff, code.Unknown, 0},
		"wrapped":                   {fmt.Errorf("y: %w", code.Draining.New("x")), code.Draining, code.NotRun, 0},
		"wrapped with another code": {code.OutcomeUnknown.Wrap(code.CutOff.New("x"), "y"), code.OutcomeUnknown, code.Unknown, 0},
		"retry time":                {code.WithRetryAfter(code.Overloaded.New("x"), time.Second), code.Overloaded, code.NotRun, time.Second},
		"stated outcome":            {code.WithOutcome(code.ForeignAnswer.New("x"), code.NotRun), code.ForeignAnswer, code.NotRun, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(code.Of(test.err), qt.Equals, test.code)
			c.Assert(code.OutcomeOf(test.err), qt.Equals, test.outcome)
			c.Assert(code.RetryAfter(test.err), qt.Equals, test.retry)
		})
	}
}
