package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/caller/operator"
	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/record"
	"cuminbay/internal/domain/unit"
	"cuminbay/internal/kernel/clock"
	"cuminbay/internal/kernel/plugin"
)

// recordCommand groups the subcommands for records.
type recordCommand struct {
	List     recordListCommand     `command:"list" description:"List the records with their revisions"`
	Show     recordShowCommand     `command:"show" description:"Print a record"`
	Write    recordWriteCommand    `command:"write" description:"Write a record"`
	Withdraw recordWithdrawCommand `command:"withdraw" description:"Withdraw a record"`
}

// Execute does nothing; go-flags runs the subcommands.
func (*recordCommand) Execute([]string) error {
	return nil
}

func newRecordCommand(s Streams) *recordCommand {
	c := new(recordCommand)
	c.List.streams, c.Show.streams = s, s
	c.Write.streams, c.Withdraw.streams = s, s
	return c
}

type recordListCommand struct {
	operatorFlags
	streams Streams
}

// Execute lists the records.
func (c *recordListCommand) Execute([]string) error {
	var list []record.StoredRecord
	if err := c.sendRequest(fasthttp.MethodGet, "/records", nil, &list); err != nil {
		return err
	}
	if c.JSON {
		return c.streams.printJSON(list)
	}
	for _, r := range list {
		c.streams.printf("%-40s revision %d\n", r.Name, r.Revision)
	}
	return nil
}

// nameArgument is the argument that names the record.
type nameArgument struct {
	Name string `positional-arg-name:"KIND/NAME" description:"the record, as in deployment/assistant" required:"true"`
}

type recordShowCommand struct {
	operatorFlags
	Args    nameArgument `positional-args:"true"`
	streams Streams
}

// Execute prints the record as JSON.
func (c *recordShowCommand) Execute([]string) error {
	r, err := c.getRecord(c.Args.Name)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.streams.printJSON(r)
	}
	c.streams.printf("%s\n", r.Raw)
	return nil
}

func (f operatorFlags) getRecord(name string) (record.StoredRecord, error) {
	var r record.StoredRecord
	n, err := record.ParseName(name)
	if err != nil {
		return r, err
	}
	err = f.sendRequest(fasthttp.MethodGet, "/records/"+n.String(), nil, &r)
	return r, err
}

// writeFlags are the flags of the commands that write a record.
type writeFlags struct {
	operatorFlags
	Revision *int64        `long:"revision" description:"write only if the record has this revision, 0 for a new one (default: the current one)"`
	Wait     time.Duration `long:"wait" description:"wait this long until every reachable daemon has it active"`
}

type recordWriteCommand struct {
	writeFlags
	File    string       `short:"f" long:"file" default:"-" description:"the record's JSON, - for standard input"`
	Args    nameArgument `positional-args:"true"`
	streams Streams
}

// Execute writes the record.
func (c *recordWriteCommand) Execute([]string) error {
	raw, err := readInput(c.File)
	if err != nil {
		return err
	}
	return c.writeRecord(c.streams, c.Args.Name, raw)
}

func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

type recordWithdrawCommand struct {
	writeFlags
	Args    nameArgument `positional-args:"true"`
	streams Streams
}

// Execute withdraws the record. The withdrawn record remains as a tombstone, so
// that an older revision can't become active again.
func (c *recordWithdrawCommand) Execute([]string) error {
	return c.writeRecord(c.streams, c.Args.Name, fmt.Appendf(nil, `{"schema":%d,"withdrawn":true}`, record.SchemaV2))
}

// writeReport is what a command that writes a record prints.
type writeReport struct {
	operator.WriteResult
	// Unreachable are the daemons of which it isn't known whether the record is active.
	Unreachable []operator.Confirmation `json:"unreachable,omitempty"`
}

func (f writeFlags) writeRecord(s Streams, name string, raw []byte) error {
	n, err := record.ParseName(name)
	if err != nil {
		return err
	}
	if _, err := record.Decode(n, raw); err != nil {
		return err
	}
	expected, err := f.expectedRevision(n)
	if err != nil {
		return err
	}
	var written writeReport
	path := fmt.Sprintf("/records/%s?revision=%d", n, expected)
	if err := f.sendRequest(fasthttp.MethodPut, path, raw, &written.WriteResult); err != nil {
		return err
	}
	if f.Wait > 0 {
		if written.Unreachable, err = f.waitConfirmed(n, written.Revision); err != nil {
			return err
		}
	}
	if f.JSON {
		return s.printJSON(written)
	}
	s.printf("%s written at revision %d\n", n, written.Revision)
	for _, c := range written.Unreachable {
		s.printf("not confirmed by %s, which can't be reached: %s\n", c.Instance, c.Reason)
	}
	return nil
}

// expectedRevision returns the revision that the record must have for the
// write.
func (f writeFlags) expectedRevision(n record.Name) (unit.Revision, error) {
	if f.Revision != nil {
		return unit.Revision(*f.Revision), nil
	}
	r, err := f.getRecord(n.String())
	if code.Of(err) == code.NoSuchRecord {
		return 0, nil
	}
	return r.Revision, err
}

// waitConfirmed waits until the revision is active at every daemon that the called daemon can
// reach, and returns the daemons that it can't reach. If that takes longer than the flag
// allows, the error lists the daemons that have not confirmed the revision.
func (f writeFlags) waitConfirmed(n record.Name, revision unit.Revision) ([]operator.Confirmation, error) {
	clk := clock.Real()
	deadline := clk.Now().Add(f.Wait)
	const interval = 100 * time.Millisecond
	for {
		var list []operator.Confirmation
		path := fmt.Sprintf("/confirmations/%s?revision=%d", n, revision)
		if err := f.sendRequest(fasthttp.MethodGet, path, nil, &list); err != nil {
			return nil, err
		}
		pending, unreachable := splitUnconfirmed(list)
		if len(pending) == 0 {
			return unreachable, nil
		}
		if clk.Now().After(deadline) {
			raw, err := json.Marshal(slices.Concat(pending, unreachable))
			if err != nil {
				return nil, err
			}
			return nil, code.NotReady.New("%s: revision %d is written but not confirmed by %s", n, revision, raw)
		}
		plugin.Sleep(context.Background(), clk, interval)
	}
}

// splitUnconfirmed returns the daemons that answer but have not confirmed the revision, and
// those that can't be reached.
func splitUnconfirmed(list []operator.Confirmation) (pending, unreachable []operator.Confirmation) {
	for _, c := range list {
		switch {
		case c.Active:
		case c.Reason != "":
			unreachable = append(unreachable, c)
		default:
			pending = append(pending, c)
		}
	}
	return pending, unreachable
}
