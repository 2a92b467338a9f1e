package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// killDelay is when the platform may kill a process with a deadline of 3 s or more: 3.7 s after SIGTERM.
const killDelay = 3700 * time.Millisecond

// faktoryConn is a connection to the Faktory front of whichever process the kernel chooses. It may end at any time.
type faktoryConn struct {
	net.Conn
	reader *bufio.Reader
}

// dialFaktory connects and says HELLO; a non-empty wid makes the connection a worker's.
func dialFaktory(address, wid string) (*faktoryConn, error) {
	nc, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	nc.SetDeadline(time.Now().Add(30 * time.Second))
	c := &faktoryConn{Conn: nc, reader: bufio.NewReader(nc)}
	if _, err := c.reader.ReadString('\n'); err != nil {
		nc.Close()
		return nil, err
	}
	hello := map[string]any{"v": 2, "hostname": "here", "pid": 1}
	if wid != "" {
		hello["wid"] = wid
	}
	text, _ := json.Marshal(hello)
	reply, err := c.do("HELLO " + string(text))
	if err == nil && reply != "OK" {
		err = errors.New(reply)
	}
	if err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

// do sends a command and returns its reply: a simple or bulk string, empty for none, or an error with its leading "-".
func (c *faktoryConn) do(command string) (string, error) {
	if _, err := fmt.Fprintf(c, "%s\r\n", command); err != nil {
		return "", err
	}
	line, err := c.reader.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimSuffix(line, "\r\n")
	switch {
	case line == "$-1":
		return "", nil
	case line[0] == '$':
		line, err = c.reader.ReadString('\n')
		return strings.TrimSuffix(line, "\r\n"), err
	}
	return strings.TrimPrefix(line, "+"), nil
}

// pushSettle pushes a job on a connection of its own, and returns whether it was taken and the reply or error.
func pushSettle(address, jid string) (isTaken bool, reply string) {
	c, err := dialFaktory(address, "")
	if err != nil {
		return false, err.Error()
	}
	defer c.Close()
	reply, err = c.do(fmt.Sprintf(`PUSH {"jid":%q,"jobtype":"move","queue":"settlements","args":[]}`, jid))
	if err != nil {
		return false, err.Error()
	}
	return reply == "OK", reply
}

// countRuns fetches and runs jobs until none has come for two FETCHes in turn, and returns how often each ran.
func countRuns(t *testing.T, address string) map[string]int {
	c, err := dialFaktory(address, "w-1")
	require.NoError(t, err)
	defer c.Close()
	runs := map[string]int{}
	for idle := 0; idle < 2; {
		text, err := c.do("FETCH settlements")
		require.NoError(t, err)
		if text == "" {
			idle++
			continue
		}
		var job struct{ JID string }
		require.NoError(t, json.Unmarshal([]byte(text), &job), text)
		runs[job.JID]++
		reply, err := c.do(fmt.Sprintf(`ACK {"jid":%q}`, job.JID))
		require.NoError(t, err)
		require.Equal(t, "OK", reply)
	}
	return runs
}

func newFaktoryUpgrade(t *testing.T) (h *upgradeHarness, address string) {
	h = newUpgradeHarness(t)
	h.sockets, h.moreRules = 256, `,"warmWithinUs":1,"tipAfterUs":1` // a worker gets jobs at once
	address = freeAddress(t)
	h.ownSections = fmt.Sprintf(`{"faktory":{"listen":%q,"queue":"default","max_sessions":32}}`, address)
	return h, address
}

// Jobs that were pushed before and during an upgrade run once, and none that was taken is lost, whatever holds up the old process
// and its files meanwhile. Guards against a repeat of a push that a second process takes for a new job.
func TestFaktoryJobsRunOnceThroughAnUpgrade(t *testing.T) {
	for name, disturb := range map[string]func(t *testing.T, h *upgradeHarness, old *instance){
		"undisturbed": func(*testing.T, *upgradeHarness, *instance) {},
		"stopped in turns from SIGTERM on": func(t *testing.T, _ *upgradeHarness, old *instance) {
			for range 15 {
				old.cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(100 * time.Millisecond)
				old.cmd.Process.Signal(syscall.SIGCONT)
				time.Sleep(20 * time.Millisecond)
			}
		},
		"directory away for a second": func(t *testing.T, h *upgradeHarness, _ *instance) {
			require.NoError(t, os.Rename(h.stateDir, h.stateDir+"-away"))
			time.Sleep(time.Second)
			require.NoError(t, os.Rename(h.stateDir+"-away", h.stateDir))
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, address := newFaktoryUpgrade(t)
			old := h.start()
			taken := map[string]bool{}
			push := func(jid string) {
				if isTaken, _ := pushSettle(address, jid); isTaken {
					taken[jid] = true
				}
			}
			for n := range 20 {
				push(fmt.Sprintf("before-%03d", n))
			}
			h.start()
			killed := make(chan struct{})
			go func() {
				defer close(killed)
				old.cmd.Process.Signal(syscall.SIGTERM)
				kill := time.AfterFunc(killDelay, func() { old.cmd.Process.Kill() })
				defer kill.Stop()
				disturb(t, h, old)
				old.cmd.Wait()
			}()
			for n := 0; ; n++ {
				push(fmt.Sprintf("during-%03d", n))
				push(fmt.Sprintf("during-%03d", n))
				push(fmt.Sprintf("before-%03d", n%20))
				time.Sleep(10 * time.Millisecond)
				select {
				case <-killed:
				default:
					continue
				}
				break
			}
			push("after-0001")
			runs := countRuns(t, address)
			assert.True(t, taken["after-0001"])
			for jid := range taken {
				assert.Equal(t, 1, runs[jid], jid)
			}
			assert.Len(t, runs, len(taken))
		})
	}
}

// The old process is killed before it could hand its jobs over. Guards against a push that the new process answers with OK,
// although the job may have run in the old one.
func TestNewProcessRejectsPushesAfterAnOwnerThatWasKilled(t *testing.T) {
	h, address := newFaktoryUpgrade(t)
	old := h.start()
	isTaken, reply := pushSettle(address, "before-001")
	require.True(t, isTaken, reply)
	next := h.start()
	eventually(t, func() bool { return next.logged("waits for the process that owns the jobs") })
	old.kill()
	eventually(t, func() bool { return next.logged("faktory: serves") })
	isTaken, reply = pushSettle(address, "before-001")
	assert.False(t, isTaken)
	assert.Contains(t, reply, "-ERR refused, a process that may have had this job has ended without a handover, return in")
	assert.Empty(t, countRuns(t, address))
}
