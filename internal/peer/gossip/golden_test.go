package gossip

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"cuminbay/internal/fleet/demand"
)

// earlierBuildsFile has the commits of the earlier builds.
const earlierBuildsFile = "../../../platform/testdata/earlier-builds.txt"

// The files of testdata/COMMIT, which the code of the commit has written: the encoding of
// completeMessage as far as the commit knows its fields, the schema of datagrams, and a
// registration. Those of the current code are written to testdata/NAME by
// GOLDEN=NAME go test -run TestEarlier ./internal/peer/gossip
const (
	datagramFile     = "datagram.bin"
	schemaFile       = "schema.json"
	registrationFile = "registration.json"
)

// earlierMessages have, by commit, completeMessage as the commit encodes it.
var earlierMessages = map[string]func() *message{
	"321a82e": messageWithoutDemand,
	"354baa5": messageWithoutDemand,
	"800f969": completeMessage,
	"f6bb871": completeMessage,
	"be0a036": completeMessage,
}

// messageWithoutDemand returns completeMessage without the fields of datagrams from number 22 on.
func messageWithoutDemand() *message {
	m := completeMessage()
	m.DataCentreSum, m.Demand = nil, demand.Report{}
	for e, l := range m.Loads {
		m.Loads[e] = endpointLoad{Requests: l.Requests}
	}
	return m
}

var earlierRegistration = registration{Address: "10.0.0.1:7946", Feed: "10.0.0.1:7947", Relay: "10.0.0.1:7948", DataCentre: "z"}

func writeGolden(c *qt.C, name string) {
	directory := filepath.Join("testdata", name)
	raw, err := completeMessage().encode()
	c.Assert(err, qt.IsNil)
	schema, err := protojson.Marshal(protodesc.ToFileDescriptorProto(File_datagram_proto))
	c.Assert(err, qt.IsNil)
	var indented bytes.Buffer
	c.Assert(json.Indent(&indented, schema, "", "  "), qt.IsNil)
	registered, err := json.Marshal(earlierRegistration)
	c.Assert(err, qt.IsNil)
	c.Assert(os.MkdirAll(directory, 0o755), qt.IsNil)
	for file, content := range map[string][]byte{datagramFile: raw, schemaFile: indented.Bytes(), registrationFile: registered} {
		c.Assert(os.WriteFile(filepath.Join(directory, file), content, 0o644), qt.IsNil)
	}
}

func readGolden(c *qt.C, commit, file string) []byte {
	raw, err := os.ReadFile(filepath.Join("testdata", commit, file))
	c.Assert(err, qt.IsNil)
	return raw
}

// TestEarlierMessages guards against a datagram or a registration of an earlier build that the
// current code rejects or reads differently, and against one of the current code that an earlier
// build rejects or reads differently, while both run side by side.
func TestEarlierMessages(t *testing.T) {
	if name := os.Getenv("GOLDEN"); name != "" {
		writeGolden(qt.New(t), name)
	}
	commits, err := os.ReadFile(earlierBuildsFile)
	qt.New(t).Assert(err, qt.IsNil)
	for _, commit := range strings.Fields(string(commits)) {
		t.Run(commit, func(t *testing.T) {
			c := qt.New(t)
			wantMessage := earlierMessages[commit]
			c.Assert(wantMessage, qt.IsNotNil, qt.Commentf("no entry in earlierMessages"))
			got, err := decodeMessage(readGolden(c, commit, datagramFile))
			c.Assert(err, qt.IsNil)
			c.Check(got, qt.DeepEquals, wantMessage())

			earlier := readSchema(c, commit)
			checkSchema(c, earlier.Messages(), File_datagram_proto.Messages())
			raw, err := completeMessage().encode()
			c.Assert(err, qt.IsNil)
			read := dynamicpb.NewMessage(earlier.Messages().ByName("Datagram"))
			c.Assert(proto.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(raw, read), qt.IsNil)
			raw, err = proto.Marshal(read)
			c.Assert(err, qt.IsNil)
			got, err = decodeMessage(raw)
			c.Assert(err, qt.IsNil)
			c.Check(got, qt.DeepEquals, wantMessage())

			checkRegistration(c, readGolden(c, commit, registrationFile))
		})
	}
}

func readSchema(c *qt.C, commit string) protoreflect.FileDescriptor {
	encoded := new(descriptorpb.FileDescriptorProto)
	c.Assert(protojson.Unmarshal(readGolden(c, commit, schemaFile), encoded), qt.IsNil)
	schema, err := protodesc.NewFile(encoded, nil)
	c.Assert(err, qt.IsNil)
	return schema
}

// checkSchema checks that the current messages have each field of the earlier ones under the same
// number, with the same name and type.
func checkSchema(c *qt.C, earlier, current protoreflect.MessageDescriptors) {
	for i := range earlier.Len() {
		message := earlier.Get(i)
		currentMessage := current.ByName(message.Name())
		c.Assert(currentMessage, qt.IsNotNil, qt.Commentf("message %s", message.Name()))
		for n := range message.Fields().Len() {
			field := message.Fields().Get(n)
			comment := qt.Commentf("field %s", field.FullName())
			same := currentMessage.Fields().ByNumber(field.Number())
			c.Assert(same, qt.IsNotNil, comment)
			c.Check(proto.Equal(protodesc.ToFieldDescriptorProto(same), protodesc.ToFieldDescriptorProto(field)), qt.IsTrue, comment)
		}
	}
}

// checkRegistration checks that the current code decodes the registration, and that its own has the
// same fields with the same values.
func checkRegistration(c *qt.C, raw []byte) {
	got, err := decodeRegistration(raw)
	c.Assert(err, qt.IsNil)
	want := earlierRegistration
	c.Check(got, qt.Equals, RegisteredDaemon{
		Address: netip.MustParseAddrPort(want.Address), FeedAddress: want.Feed, RelayAddress: want.Relay, DataCentre: want.DataCentre,
	})
	encoded, err := json.Marshal(want)
	c.Assert(err, qt.IsNil)
	var earlier, current map[string]any
	c.Assert(json.Unmarshal(raw, &earlier), qt.IsNil)
	c.Assert(json.Unmarshal(encoded, &current), qt.IsNil)
	for field, value := range earlier {
		c.Check(current[field], qt.DeepEquals, value, qt.Commentf("field %s", field))
	}
}
