package cli

import (
	"strings"

	"github.com/valyala/fasthttp"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/domain/drainstatus"
)

// targetArgument is the argument that names the data centre or instance.
type targetArgument struct {
	Target string `positional-arg-name:"KIND/ID" description:"datacentre/ID or instance/ID" required:"true"`
}

// drainCommand drains or restores a data centre or an instance.
type drainCommand struct {
	operatorFlags
	Args    targetArgument `positional-args:"true"`
	streams Streams
	method  string
}

// Execute sets the drain status at one daemon, which sends it to the others.
func (c *drainCommand) Execute([]string) error {
	kind, id, found := strings.Cut(c.Args.Target, "/")
	if !found {
		return code.BadMessage.New("drain target %q: expected datacentre/ID or instance/ID", c.Args.Target)
	}
	t := drainstatus.Target{Kind: drainstatus.TargetKind(kind), ID: id}
	if err := t.Check(); err != nil {
		return code.BadMessage.Wrap(err, "check drain target %q", c.Args.Target)
	}
	var statuses []drainstatus.Status
	if err := c.sendRequest(c.method, "/drain/"+t.String(), nil, &statuses); err != nil {
		return err
	}
	if c.JSON {
		return c.streams.printJSON(statuses)
	}
	state := "in service"
	if c.method == fasthttp.MethodPut {
		state = "out of service"
	}
	c.streams.printf("%s is marked %s\n", t, state)
	return nil
}
