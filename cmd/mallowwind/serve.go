package main

import (
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mallowwind.dev/control/settings"
	"mallowwind.dev/control/tlsfiles"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/serve/daemon"
	"mallowwind.dev/telemetry/event"
)

// serveCmd serves generations and calls according to the accepted site text.
type serveCmd struct {
	Config string `required:"" type:"path" placeholder:"FILE" help:"Settings file of the daemon."`
	Check  bool   `help:"Check the settings and exit."`
}

// Run serves until a signal ends it.
func (c *serveCmd) Run() error {
	s, err := settings.Parse(c.Config)
	if err != nil {
		return usageError{err}
	}
	if c.Check {
		return nil
	}
	return serve(s)
}

func serve(s *settings.Settings) error {
	listeners, err := daemon.Listen(s)
	if err != nil {
		return usageError{err}
	}
	platform, err := daemon.Connect(s)
	if err != nil {
		return usageError{err}
	}
	logger := newLogger(s)
	files, err := tlsfiles.New(s.TLS, event.New(logger, s.VM, s.Zone))
	if err != nil {
		return usageError{err}
	}
	d := daemon.New(daemon.Options{
		Settings: s, Platform: platform, Listeners: listeners.Secure(files), TLS: files,
		Dialer: link.NewDialer(files.PeerClient()), Logger: logger, Version: version,
	})
	soft, hard := notifyContexts()
	if err := d.Run(soft, hard); err != nil {
		return err
	}
	return errors.Wrap(hard.Err(), "stopped by a second signal")
}

func newLogger(s *settings.Settings) *logrus.Logger {
	l := logrus.New()
	if s.LogFormat == "json" {
		l.SetFormatter(&logrus.JSONFormatter{})
	}
	if level, err := logrus.ParseLevel(s.LogLevel); err == nil {
		l.SetLevel(level)
	}
	return l
}
