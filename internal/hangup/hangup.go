// Package hangup catches SIGHUP from the program's first moments: left to the runtime the signal ends the process, and the
// platform may send it to one that it has just started. Built with cgo, as deployed, it has the signal ignored until the
// runtime can catch it.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// Received gets each SIGHUP; one that waits is enough, since the configuration is read after it was taken.
var Received = make(chan os.Signal, 1)

func init() { signal.Notify(Received, syscall.SIGHUP) }
