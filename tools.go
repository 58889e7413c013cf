//go:build tools

// Package tools pins the generators and libraries that go.mod has to list.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/fasthttp/router"
	_ "github.com/frankban/quicktest"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/twitchtv/twirp"
	_ "github.com/valyala/fasthttp"
	_ "go.uber.org/goleak"
	_ "golang.org/x/time/rate"
	_ "google.golang.org/protobuf/cmd/protoc-gen-go"
	_ "pgregory.net/rapid"
)
