package main

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"cuminbay/internal/kernel/settings"
)

// TestSettingsPage guards against docs/settings.md differing from the
// registered sections.
func TestSettingsPage(t *testing.T) {
	c := qt.New(t)
	const path = "../../docs/settings.md"
	want := renderSettingsPage(c)
	if os.Getenv("UPDATE") != "" {
		c.Assert(os.WriteFile(path, []byte(want), 0o644), qt.IsNil)
	}
	raw, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(string(raw), qt.Equals, want)
}

// TestEarlierSettings guards against a settings file of an earlier build that the current build
// refuses or reads differently. The files of testdata have each field of a commit of
// earlier-builds.txt with its default; GOLDEN=NAME writes settings-NAME.json with those of the current code.
func TestEarlierSettings(t *testing.T) {
	if name := os.Getenv("GOLDEN"); name != "" {
		raw, err := json.MarshalIndent(settings.Sections(), "", "  ")
		qt.New(t).Assert(err, qt.IsNil)
		qt.New(t).Assert(os.WriteFile(filepath.Join("testdata", "settings-"+name+".json"), append(raw, '\n'), 0o644), qt.IsNil)
	}
	overrides := []string{"daemon.instance=front-0", "daemon.dataCentre=z", "daemon.adapter=platform"}
	commits, err := os.ReadFile("../../platform/testdata/earlier-builds.txt")
	qt.New(t).Assert(err, qt.IsNil)
	for _, commit := range strings.Fields(string(commits)) {
		t.Run(commit, func(t *testing.T) {
			c := qt.New(t)
			raw, err := os.ReadFile(filepath.Join("testdata", "settings-"+commit+".json"))
			c.Assert(err, qt.IsNil)
			read, err := settings.Parse(raw, overrides)
			c.Assert(err, qt.IsNil)
			var earlier map[string]map[string]any
			c.Assert(json.Unmarshal(raw, &earlier), qt.IsNil)
			for name, fields := range earlier {
				if name == "daemon" {
					continue
				}
				encoded, err := json.Marshal(read.Section(name))
				c.Assert(err, qt.IsNil)
				var current map[string]any
				c.Assert(json.Unmarshal(encoded, &current), qt.IsNil)
				for field, value := range fields {
					c.Check(current[field], qt.DeepEquals, value, qt.Commentf("%s.%s", name, field))
				}
			}
		})
	}
}

func renderSettingsPage(c *qt.C) string {
	var b strings.Builder
	b.WriteString("# Settings\n\n" +
		"A daemon reads one JSON file, named by `--settings`. Its top level has a section for each plug-in and `daemon` for the kernel; a section or a field that is absent has its default. `--set path=value` overrides a field. `cuminbay check --settings FILE` checks a file: every invalid value is named by its path, and a daemon with an invalid value doesn't start. Durations are strings such as `\"1.5s\"`; a `duration` is above zero, a `listen` is an IP address and port, a `name` has letters, digits and `. _ : / -`.\n\n" +
		"A test compares this page with the code; `UPDATE=1 go test ./cmd/cuminbay` writes the page.\n")
	sections := settings.Sections()
	names := make([]string, 0, len(sections))
	for name := range sections {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, "\n## %s\n\n| field | default | rule | meaning |\n| --- | --- | --- | --- |\n", name)
		section := reflect.ValueOf(sections[name]).Elem()
		comments := fieldComments(c, section.Type())
		for i := range section.NumField() {
			f := section.Type().Field(i)
			value, err := json.Marshal(section.Field(i).Interface())
			c.Assert(err, qt.IsNil)
			c.Check(comments[f.Name], qt.Not(qt.Equals), "", qt.Commentf("%s.%s has no doc comment", name, f.Name))
			fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s |\n", f.Tag.Get("json"), value, strings.ReplaceAll(f.Tag.Get("validate"), "|", "\\|"), comments[f.Name])
		}
	}
	return b.String()
}

// fieldComments returns the doc comment of each field of a struct type, on one line.
// Fields that are declared together have the same comment.
func fieldComments(c *qt.C, typ reflect.Type) map[string]string {
	comments := make(map[string]string)
	directory := strings.Replace(typ.PkgPath(), "cuminbay/", "../../", 1)
	files, err := filepath.Glob(directory + "/*.go")
	c.Assert(err, qt.IsNil)
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		c.Assert(err, qt.IsNil)
		ast.Inspect(parsed, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok || spec.Name.Name != typ.Name() {
				return true
			}
			for _, f := range spec.Type.(*ast.StructType).Fields.List {
				for _, name := range f.Names {
					comments[name.Name] = strings.ReplaceAll(strings.TrimSpace(f.Doc.Text()), "\n", " ")
				}
			}
			return false
		})
	}
	return comments
}
