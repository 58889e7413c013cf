package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
)

type checkCommand struct {
	File    string   `short:"c" long:"settings" value-name:"FILE" description:"the settings file"`
	Set     []string `long:"set" value-name:"PATH=VALUE" description:"override a setting"`
	Records []string `long:"record" value-name:"FILE" description:"a file named kind.name.json with a record"`
	streams Streams
}

// Execute checks the files and prints a line for each valid file.
func (c *checkCommand) Execute([]string) error {
	if c.File == "" && len(c.Records) == 0 {
		return code.BadSettings.New("check: no file named, expected --settings or --record")
	}
	if c.File != "" {
		if _, err := settings.Read(c.File, c.Set); err != nil {
			return err
		}
		c.printOK(c.File)
	}
	for _, path := range c.Records {
		if err := checkRecord(path); err != nil {
			return err
		}
		c.printOK(path)
	}
	return nil
}

func (c *checkCommand) printOK(path string) {
	_, _ = fmt.Fprintf(c.streams.Out, "%s: ok\n", path)
}

func checkRecord(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return code.BadRecord.Wrap(err, "record file %s: cannot read", path)
	}
	name := strings.TrimSuffix(filepath.Base(path), ".json")
	n, err := record.ParseName(strings.Replace(name, ".", "/", 1))
	if err != nil {
		return err
	}
	_, err = record.Decode(n, raw)
	return err
}

// version is the version of the program.
const version = "0.1.0"

type versionCommand struct {
	JSON    bool `long:"json" description:"print JSON"`
	streams Streams
}

type versionInfo struct {
	Version string   `json:"version"`
	Schemas []int    `json:"schemas"`
	Plugins []string `json:"plugins"`
}

// Execute prints the version and the known schema versions, and with --json also
// the names of the plug-ins.
func (c *versionCommand) Execute([]string) error {
	info := versionInfo{Version: version, Schemas: []int{record.SchemaV1, record.SchemaV2}, Plugins: plugin.Names()}
	if c.JSON {
		return json.NewEncoder(c.streams.Out).Encode(info)
	}
	_, err := fmt.Fprintf(c.streams.Out, "cuminbay %s, record schemas 1 and 2\n", version)
	return err
}
