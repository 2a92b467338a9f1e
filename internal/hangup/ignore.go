//go:build cgo

package hangup

/*
#include <signal.h>

// Runs before the Go runtime installs its signal handlers. From then until signal.Notify a SIGHUP would end the process. A
// signal that is ignored here is no loss, as the configuration is read later. The runtime keeps an ignored SIGHUP ignored
// until signal.Notify is called for it.
__attribute__((constructor)) static void ignoreHangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
