package main

import (
	"net"
	"os"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"mallowwind.dev/control/settings"
	"mallowwind.dev/peer/link"
	"mallowwind.dev/serve/daemon"
	"mallowwind.dev/serve/gateway"
	"mallowwind.dev/telemetry/event"
)

// metricsCmd prints the reference page of the metrics of a daemon.
type metricsCmd struct {
	Write string `placeholder:"FILE" help:"Write the page to FILE instead of printing it."`
}

// Run implements the command.
func (c *metricsCmd) Run() error {
	page, err := metricsPage()
	if err != nil {
		return err
	}
	if c.Write != "" {
		return os.WriteFile(c.Write, page, 0o644)
	}
	_, err = os.Stdout.Write(page)
	return err
}

// metricsPage returns the reference page of all metrics. It creates a daemon and a gateway, which
// register their metrics when they are created, and runs neither.
func metricsPage() ([]byte, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	defer l.Close()
	d := daemon.New(daemon.Options{
		Settings:  &settings.Settings{VM: "metrics"},
		Listeners: daemon.Listeners{Callers: l, Peers: l},
		Dialer:    link.NewDialer(nil),
		Logger:    logrus.New(),
	})
	gateway.New(gateway.Options{Log: event.Discard(), Registry: d.Registry()})
	return d.Registry().Page(), nil
}
