//go:build cgo

package hangup

/*
#include <signal.h>

// Runs before the Go runtime sets its handlers: from then until Notify it would end the process. What is ignored is no loss,
// as the configuration is read later. The runtime leaves a SIGHUP that is ignored alone until somebody asks for it.
__attribute__((constructor)) static void ignoreHangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
