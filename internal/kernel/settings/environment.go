package settings

import (
	"os"
	"strconv"

	"cuminbay/internal/domain/code"
)

// processorVariable has the share of a processor core that the process may use. It is not a field
// of the settings file, since daemons of earlier builds refuse unknown fields, and both builds run
// during an upgrade.
const processorVariable = "CUMINBAY_PROCESSOR"

// ProcessorShare returns the share of a processor core that the process may use, zero if it is not
// known.
//
// Errors carry code.BadSettings.
func ProcessorShare() (float64, error) {
	text := os.Getenv(processorVariable)
	if text == "" {
		return 0, nil
	}
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || !(share >= 0) {
		return 0, code.BadSettings.New("read %s: got %q, expected a share of a core such as 0.4", processorVariable, text)
	}
	return share, nil
}
