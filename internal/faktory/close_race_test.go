package faktory_test

import (
	"bufio"
	"log/slog"
	"testing"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/gateway"
	"cobaltflow/internal/standin"
)

// exchange connects, sends a command before the greeting has come, and reads the first line, whatever it is.
func exchange(address string) error {
	return standin.Exchange(address, "HELLO {\"v\":2}\r\n", func(r *bufio.Reader) error {
		_, err := r.ReadString('\n')
		return err
	})
}

// Guards against the reset of connections that wait in the accept queue when the listener closes at the end of the process.
func TestSessionRacingListenerCloseIsAnswered(t *testing.T) {
	n := start(t, nil)
	var race *standin.CloseRace
	n.RunOnLoop(func() {
		n.Faktory.ReplaceListener(func(l netpoll.Listener) (hooked netpoll.Listener) {
			hooked, race = standin.RaceClose(n, l, 1, func(int) error { return exchange(l.Addr().String()) })
			return hooked
		})
	})
	n.Gateway.Stop()
	<-n.Ended
	assert.Empty(t, race.Failures(), "clients without an answer")
}

// Guards against the reset of a session whose PUSH is unread in the kernel when the front closes: it is rejected.
func TestUnreadPushAtCloseIsRejected(t *testing.T) {
	n := start(t, nil)
	c := session(n, "")
	resume := standin.PausePoller(n)
	c.Send("PUSH {\"jid\":\"job-0001\",\"jobtype\":\"settle\",\"args\":[]}\r\n")
	n.RunOnLoop(func() {
		n.Faktory.Drain(false)
		n.Faktory.Close()
	})
	resume()
	line, err := c.Reader.ReadString('\n')
	if assert.NoError(t, err) {
		assert.Equal(t, byte('-'), line[0], line)
	}
}

// Guards against an upgrade that cannot start: a successor listens at the address that its predecessor still serves.
func TestSuccessorListensAtSameAddress(t *testing.T) {
	n := start(t, nil)
	conf := *n.Conf
	conf.Listen, conf.Faktory.Listen, conf.StateDir = "127.0.0.1:0", n.Faktory.Address(), t.TempDir()
	successor := gateway.New(&conf, slog.New(slog.DiscardHandler))
	require.NoError(t, successor.Start())
	successor.Loop.Post(successor.Loop.Stop)
	successor.Run()
}
