// Package serve runs a gateway as a process: its configuration, its log and its signals. The commands call it; it makes no
// scheduling decision.
package serve

import (
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"cobaltflow/internal/config"
	"cobaltflow/internal/gateway"
	"cobaltflow/internal/hangup"
	"cobaltflow/internal/log"
)

// Run runs the gateway until SIGTERM or SIGINT, with its log on out. SIGHUP reloads the configuration in all processes of the
// scheduler.
func Run(load func() (*config.Config, error), out io.Writer) error {
	stops := make(chan os.Signal, 2)
	reloads := make(chan struct{}, 1) // reloads that other processes of this scheduler requested
	conf, err := load()
	if err != nil {
		return err
	}
	gateway.ApplyLimits(conf.Limits)
	logger, lines, err := log.New(out, conf.Log)
	if err != nil {
		return err
	}
	defer lines.Close()
	g := gateway.New(conf, logger)
	g.OnReload(func() {
		select {
		case reloads <- struct{}{}:
		default: // a reload is pending already
		}
	})
	if err := g.Start(); err != nil {
		return err
	}
	go reloadAgain(g, conf, reloads)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for range stops {
			g.Stop()
		}
	}()
	go debug.FreeOSMemory() // what reading the configuration has taken
	g.Run()
	return nil
}

// reloadAgain reloads the configuration at each request.
func reloadAgain(g *gateway.Gateway, conf *config.Config, reloads <-chan struct{}) {
	for {
		select {
		case <-hangup.Received:
			g.BroadcastReload()
		case <-reloads:
		}
		if next, err := conf.Reload(os.Getenv); err != nil {
			g.ReloadFailed(err)
		} else {
			g.Reload(next)
		}
	}
}
