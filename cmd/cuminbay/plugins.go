package main

// The plug-ins register themselves with the kernel.
import (
	_ "cuminbay/internal/caller/openai"
	_ "cuminbay/internal/endpoint/engine"
	_ "cuminbay/internal/route/policy"
	_ "cuminbay/internal/route/table"
	_ "cuminbay/internal/serve/dispatch"
)
