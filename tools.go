//go:build tools

// Package tools pins the generator of the peer protocol's messages.
package tools

import _ "google.golang.org/protobuf/cmd/protoc-gen-go"
