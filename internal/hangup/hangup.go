// Package hangup catches SIGHUP from the start of the process: by default the signal ends the process, and the platform may
// send it to a process that it has just started. In a build with cgo, as deployed, the signal is ignored until the Go
// runtime can catch it.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Received receives SIGHUP, which asks for a reload of the configuration. A buffer of one signal is enough, since the
// configuration is read after the signal has been taken out.
var Received = make(chan os.Signal, 1)

func init() { signal.Notify(Received, syscall.SIGHUP) }
