package main

// The plug-ins register themselves with the kernel.
import (
	_ "cuminbay/internal/caller/openai"
	_ "cuminbay/internal/caller/operator"
	_ "cuminbay/internal/caller/plain"
	_ "cuminbay/internal/endpoint/engine"
	_ "cuminbay/internal/endpoint/relay"
	_ "cuminbay/internal/endpoint/service"
	_ "cuminbay/internal/fleet/cold"
	_ "cuminbay/internal/fleet/config"
	_ "cuminbay/internal/fleet/drain"
	_ "cuminbay/internal/fleet/member"
	_ "cuminbay/internal/fleet/plan"
	_ "cuminbay/internal/fleet/remote"
	_ "cuminbay/internal/fleet/replica"
	_ "cuminbay/internal/fleet/service"
	_ "cuminbay/internal/peer/twirp"
	_ "cuminbay/internal/platform/etcd"
	_ "cuminbay/internal/platform/roster"
	_ "cuminbay/internal/route/policy"
	_ "cuminbay/internal/route/table"
	_ "cuminbay/internal/serve/claim"
	_ "cuminbay/internal/serve/dispatch"
	_ "cuminbay/internal/serve/poison"
)
