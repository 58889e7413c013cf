package feed

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"cuminbay/internal/domain/code"
	"cuminbay/internal/fleet/mirror"
	"cuminbay/internal/kernel/plugin"
	"cuminbay/internal/kernel/settings"
	"cuminbay/internal/peer/twirp"
)

const section = "feed"

// Settings holds the settings section "feed".
type Settings struct {
	// Listen is the address at which other daemons read this daemon's copy of the
	// platform's keys.
	Listen string `json:"listen" validate:"omitempty,listen"`
}

func init() {
	settings.Register(section, func() any { return new(Settings) })
	plugin.RegisterForAdapter("platform", plugin.Peer, "feed", newPlugin)
}

// component is the plug-in that serves the copy.
type component struct {
	plugin.BackgroundTasks
	deps       *plugin.Deps
	settings   *Settings
	server     *server
	httpServer *http.Server
}

func newPlugin(deps *plugin.Deps) (plugin.Plugin, error) {
	self := deps.Settings.Daemon.Instance
	deps.Provide(newClient(self, deps.Clock))
	return &component{deps: deps, settings: deps.Settings.Section(section).(*Settings), server: &server{self: self, clock: deps.Clock}}, nil
}

// Start opens the listener and serves the copy in the background.
func (c *component) Start(ctx context.Context) error {
	var platformCopy *mirror.Mirror
	if err := c.deps.Resolve(&platformCopy); err != nil {
		return err
	}
	c.server.platformCopy = platformCopy
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", c.settings.Listen)
	if err != nil {
		return code.BadSettings.Wrap(err, "feed.listen: open listener")
	}
	const headerTimeout, idleTimeout = 2 * time.Second, 30 * time.Second
	// The read time limit ends the request's context too, so it includes the wait for a change.
	const maxQuestion = 64 << 10
	c.httpServer = &http.Server{
		Handler:           twirp.NewPeerServer(c.server),
		ReadHeaderTimeout: headerTimeout, ReadTimeout: maxWait + headerTimeout,
		WriteTimeout: maxWait + headerTimeout, IdleTimeout: idleTimeout,
	}
	bounded := twirp.Bound(c.httpServer, listener, c.deps.Budget, c.deps.Clock, maxQuestion)
	c.Go(func(context.Context) {
		if err := c.httpServer.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			c.deps.Log.Error().Err(err).Str("listen", c.settings.Listen).Msg("feed-listener-failed")
		}
	})
	return nil
}

// Stop closes the listener and the connections, so that this daemon's followers
// choose another daemon.
func (c *component) Stop(ctx context.Context) error {
	if c.httpServer != nil {
		if err := c.httpServer.Close(); err != nil {
			c.deps.Log.Warn().Err(err).Msg("feed-listener-not-closed")
		}
	}
	return c.BackgroundTasks.Stop(ctx)
}
