// Package settings reads the settings file of a daemon. Each plug-in registers
// one section of the JSON file; a daemon does not start before all sections are
// valid, and the error names every invalid value by its path.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/ident"
)

// Duration is a time.Duration that is encoded in JSON as a string, such as
// "1.5s".
type Duration struct {
	time.Duration
}

// UnmarshalJSON parses a string that time.ParseDuration accepts.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var s string
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("duration %s is not a string such as \"1.5s\"", raw)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return fmt.Errorf("duration %q: expected a form such as \"1.5s\"", s)
	}
	d.Duration = v
	return nil
}

// MarshalJSON writes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(d.String())
}

// DurationOf returns the duration as a settings value.
func DurationOf(d time.Duration) Duration {
	return Duration{d}
}

// Daemon is the section that the kernel itself reads.
type Daemon struct {
	// Instance is the instance that the process runs on.
	Instance ident.Instance `json:"instance" validate:"required,name"`
	// DataCentre is the data centre of the instance.
	DataCentre ident.DataCentre `json:"dataCentre" validate:"required,name"`
	// Region is the region of the data centre. Only logs use the region.
	Region string `json:"region" validate:"omitempty,name"`
	// Adapter names the adapter that replaces the product's own interface.
	// Empty means that no adapter is used.
	Adapter string `json:"adapter" validate:"omitempty,oneof=platform"`
	// Memory is the memory that the process may use, in megabytes; zero means
	// no limit.
	Memory int `json:"memory" validate:"min=0"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel" validate:"oneof=debug info warn error"`
	// Events is the number of timeline events that the daemon keeps in memory.
	Events int `json:"events" validate:"min=16,max=1000000"`
	// StopLimit is the longest time that a planned stop waits for requests in
	// flight.
	StopLimit Duration `json:"stopLimit" validate:"duration"`
	// Workers is the highest number of background tasks that run at once.
	Workers int `json:"workers" validate:"min=1,max=4096"`
}

// Settings are the valid settings of a process.
type Settings struct {
	Daemon   Daemon
	sections map[string]any
}

// registry holds the defaults of each plug-in's section.
var registry struct {
	mu       sync.Mutex
	defaults map[string]func() any
}

// Register adds a section. The function defaults returns a pointer to a new
// struct that has the default values and validate tags. A plug-in calls
// Register from init.
func Register(name string, defaults func() any) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.defaults == nil {
		registry.defaults = make(map[string]func() any)
	}
	if _, duplicate := registry.defaults[name]; duplicate {
		panic(fmt.Sprintf("settings: section %q is registered twice", name))
	}
	registry.defaults[name] = defaults
}

// Section returns the settings of the section. The value has the pointer type
// that the section's defaults function returns.
func (s *Settings) Section(name string) any {
	return s.sections[name]
}

// Read reads the file and applies overrides of the form path=value. The path is
// dotted, as in "openai.listen=127.0.0.1:80".
//
// Errors carry code.BadSettings and name the path of every invalid value.
func Read(path string, overrides []string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, code.BadSettings.Wrap(err, "settings file %s: cannot read", path)
	}
	s, err := Parse(raw, overrides)
	if err != nil {
		return nil, code.BadSettings.Wrap(err, "settings file %s: invalid", path)
	}
	return s, nil
}

// Parse parses the content of a settings file and applies overrides like Read.
func Parse(raw []byte, overrides []string) (*Settings, error) {
	var tree map[string]any
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return nil, code.BadSettings.New("not a JSON object: %s", describeSyntaxError(raw, err))
	}
	if decoder.More() {
		return nil, code.BadSettings.New("more than one JSON value, at byte %d", decoder.InputOffset())
	}
	for _, o := range overrides {
		if err := applyOverride(tree, o); err != nil {
			return nil, err
		}
	}
	return decodeSections(tree)
}

func decodeSections(tree map[string]any) (*Settings, error) {
	s := &Settings{Daemon: defaultDaemon(), sections: sectionDefaults()}
	var problems []string
	for name, target := range s.sectionTargets() {
		value, present := tree[name]
		delete(tree, name)
		if present {
			problems = append(problems, decodeSection(name, value, target)...)
		}
		problems = append(problems, validateSection(name, target)...)
	}
	for name := range tree {
		problems = append(problems, name+": unknown section")
	}
	if len(problems) > 0 {
		sort.Strings(problems)
		return nil, code.BadSettings.New("%s", strings.Join(problems, "; "))
	}
	return s, nil
}

const daemonSection = "daemon"

func (s *Settings) sectionTargets() map[string]any {
	targets := map[string]any{daemonSection: &s.Daemon}
	for name, target := range s.sections {
		targets[name] = target
	}
	return targets
}

func defaultDaemon() Daemon {
	return Daemon{LogLevel: "info", Events: 4096, StopLimit: DurationOf(30 * time.Second), Workers: 64}
}

func sectionDefaults() map[string]any {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	sections := make(map[string]any, len(registry.defaults))
	for name, defaults := range registry.defaults {
		sections[name] = defaults()
	}
	return sections
}

// Sections returns the names of the registered sections and of the kernel's
// section, each with a pointer to its default values.
func Sections() map[string]any {
	sections := sectionDefaults()
	daemon := defaultDaemon()
	sections[daemonSection] = &daemon
	return sections
}
