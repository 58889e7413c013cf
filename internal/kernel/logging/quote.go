package logging

import (
	"strconv"
	"strings"

	"github.com/rs/zerolog"
)

// quoteMessage quotes a message that contains whitespace, quotes or "=", so
// that the line stays a sequence of key=value pairs.
func quoteMessage(fields map[string]any) error {
	m, ok := fields[zerolog.MessageFieldName].(string)
	if ok && strings.ContainsAny(m, " \t\n\"=") {
		fields[zerolog.MessageFieldName] = strconv.Quote(m)
	}
	return nil
}
