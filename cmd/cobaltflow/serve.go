package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"cobaltflow/internal/config"
	"cobaltflow/internal/core"
	"cobaltflow/internal/describe"
	"cobaltflow/internal/faktory"
	"cobaltflow/internal/logline"
	"cobaltflow/internal/platform"
)

func serve(args []string, out io.Writer) error {
	// Caught from the first moment: left to the runtime, SIGHUP ends the process. One that waits is
	// enough, since the file is read after it was taken.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	conf, _, err := load("serve", args)
	if err != nil {
		return err
	}
	keepWithin(conf.Limits)

	log := logline.New(out)
	defer log.Close()
	loop := core.NewLoop()
	c := core.New(loop, conf.Settings, conf.Seed, log.Print)
	front := platform.New(c, conf, log.Print)
	if err := front.Start(); err != nil {
		return err
	}
	log.Print(fmt.Sprintf("cobaltflow %s: %s serves at %s, %d workers known", version, conf.Name, front.Address(), c.FarmSize()))

	var second *faktory.Front
	if conf.Faktory.On() {
		second = faktory.New(c, conf, log.Print)
		if err := second.Start(); err != nil {
			return err
		}
		log.Print("faktory: serves at " + second.Address())
	}

	go func() {
		for range reloads {
			next, err := conf.Reload(os.Getenv)
			if err != nil {
				// By the loop, which runs no event once the log is closed.
				loop.Post(func() { log.Print("reload: the old configuration is kept: " + err.Error()) })
				continue
			}
			keepWithin(next.Limits)
			loop.Post(func() { front.Reload(next) })
		}
	}()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for range signals {
			loop.Post(func() {
				if second != nil {
					second.Quiet()
				}
				front.Stop(func() {
					if second != nil {
						second.Close()
					}
					loop.Stop()
				})
			})
		}
	}()
	loop.Run()
	n := c.Counts
	log.Print(fmt.Sprintf("ended: taken=%d served=%d refused=%d failed=%d hung_up=%d passes=%d probes=%d",
		n.Taken, n.Served, n.Refused, n.Failed, n.HungUp, n.Passes, n.Probes))
	return nil
}

// keepWithin sets the runtime's own limits.
func keepWithin(l config.Limits) {
	// A poller that sleeps in a system call holds a proc until the runtime takes it back, which can
	// take milliseconds: with one proc more than the cores nothing waits for that.
	runtime.GOMAXPROCS(int(l.Cores+0.999) + 1)
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 / 3 * 2)
}

// load reads the configuration under the flags that serve and check share.
func load(name string, args []string) (*config.Config, []string, error) {
	f := flags(name)
	second := f.String("faktory", config.FaktoryFile, "`file` with the Faktory front's configuration")
	f.Parse(args)
	conf, err := config.Load(os.Getenv)
	if err == nil {
		err = conf.LoadFaktory(*second)
	}
	return conf, f.Args(), err
}

// check reads the configuration, or, given a file, validates the description in it.
func check(args []string, out io.Writer) error {
	conf, files, err := load("check", args)
	if len(files) > 0 {
		for _, path := range files {
			text, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			kind, err := describe.Check(text)
			if err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
			fmt.Fprintf(out, "%s: good, %s\n", path, kind)
		}
		return nil
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "configuration of %s: good, %d classes\n", conf.Name, len(conf.Names.Classes))
	return err
}

func printDescription(args []string, out io.Writer) error {
	f := flags("describe")
	f.Parse(args)
	text := map[string][]byte{"openapi": describe.OpenAPI, "asyncapi": describe.AsyncAPI}[f.Arg(0)]
	if text == nil || f.NArg() != 1 {
		return errors.New("name one of openapi and asyncapi")
	}
	_, err := out.Write(text)
	return err
}
