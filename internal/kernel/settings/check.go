package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
)

var sectionValidator = newValidator()

// newValidator returns a validator that reports fields by their JSON names and
// supports the tags name, duration, listen and address.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	tags := map[string]validator.Func{
		"name":     func(f validator.FieldLevel) bool { return ident.CheckName(f.Field().String()) == nil },
		"duration": isPositiveDuration,
		"listen":   func(f validator.FieldLevel) bool { return isListenAddress(f.Field().String()) },
		"address":  func(f validator.FieldLevel) bool { return isAddress(f.Field().String()) },
	}
	for tag, f := range tags {
		if err := v.RegisterValidation(tag, f); err != nil {
			panic(err)
		}
	}
	return v
}

func isPositiveDuration(f validator.FieldLevel) bool {
	d, ok := f.Field().Interface().(Duration)
	return ok && d.Duration > 0
}

// isListenAddress accepts an IP address and port. Host names are not accepted,
// since processes connect to each other by IP address.
func isListenAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// isAddress accepts host:port, or an http or https URL.
func isAddress(s string) bool {
	if u, err := url.Parse(s); err == nil && (u.Scheme == "http" || u.Scheme == "https") {
		return u.Host != ""
	}
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func decodeSection(name string, value, target any) []string {
	raw, err := json.Marshal(value)
	if err != nil {
		return []string{name + ": " + err.Error()}
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return []string{name + describeDecodeError(err)}
	}
	return nil
}

func describeDecodeError(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf(".%s: got a JSON %s, expected %s", typeErr.Field, typeErr.Value, typeErr.Type)
	}
	return ": " + strings.TrimPrefix(err.Error(), "json: ")
}

func validateSection(name string, target any) []string {
	err := sectionValidator.Struct(target)
	if err == nil {
		return nil
	}
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return []string{name + ": " + err.Error()}
	}
	problems := make([]string, 0, len(invalid))
	for _, f := range invalid {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		problems = append(problems, fmt.Sprintf("%s.%s: %v does not satisfy the rule %q", name, path, f.Value(), ruleText(f)))
	}
	return problems
}

func ruleText(f validator.FieldError) string {
	if f.Param() == "" {
		return f.Tag()
	}
	return f.Tag() + "=" + f.Param()
}

// applyOverride sets the value at a dotted path. A value that is not valid JSON
// is used as a string.
func applyOverride(tree map[string]any, assignment string) error {
	path, value, found := strings.Cut(assignment, "=")
	if !found {
		return code.BadSettings.New("override %q: expected the form path=value", assignment)
	}
	keys := strings.Split(path, ".")
	for _, key := range keys[:len(keys)-1] {
		subtree, ok := tree[key].(map[string]any)
		if !ok {
			subtree = make(map[string]any)
			tree[key] = subtree
		}
		tree = subtree
	}
	var parsed any
	if err := json.Unmarshal([]byte(value), &parsed); err != nil {
		parsed = value
	}
	tree[keys[len(keys)-1]] = parsed
	return nil
}

// describeSyntaxError adds the line and the column to a JSON syntax error.
func describeSyntaxError(raw []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err.Error()
	}
	before := raw[:min(int(syntax.Offset), len(raw))]
	line := 1 + bytes.Count(before, []byte("\n"))
	column := len(before) - 1 - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d column %d: %s", line, column, err)
}
