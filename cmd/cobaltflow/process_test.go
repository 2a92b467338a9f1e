package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cobaltflow/internal/fleet/endpoints"
)

const (
	testTimeout = 20 * time.Second // for a condition to become true
	listWithin  = 6 * time.Second  // bound from discovery being reachable again to the request for its list
	readyWithin = 6 * time.Second  // bound for nine in ten restarted processes to be ready
)

// program is one process of cobaltflow, with its log.
type program struct {
	t      *testing.T
	binary string
	conf   string
	limit  int      // of its file descriptors
	env    []string // in addition to the test's own
	args   string   // behind serve
	cmd    *exec.Cmd

	mu  sync.Mutex
	log bytes.Buffer
}

func (p *program) Write(text []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(text)
}

// countLogged returns how often the log contains a text.
func (p *program) countLogged(text string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Count(p.log.Bytes(), []byte(text))
}

// logText returns the log.
func (p *program) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

func (p *program) logged(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Contains(p.log.Bytes(), []byte(text))
}

// start starts the process; it is killed when the test ends.
func (p *program) start() {
	p.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s serve %s", p.limit, p.binary, p.args))
	p.cmd.Env = append(append(os.Environ(), "RELAY_CONFIG="+p.conf), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	require.NoError(p.t, p.cmd.Start())
	cmd := p.cmd
	p.t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
}

// kill sends SIGKILL and waits for the end.
func (p *program) kill() {
	require.NoError(p.t, p.cmd.Process.Kill())
	p.cmd.Wait()
}

// buildDir is the directory of the binary that these tests build.
var buildDir string

func TestMain(m *testing.M) {
	var err error
	if buildDir, err = os.MkdirTemp("", "cobaltflow-test-"); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(buildDir)
	os.Exit(code)
}

var buildOnce = sync.OnceValues(func() (string, error) {
	binary := filepath.Join(buildDir, "cobaltflow")
	out, err := exec.Command("go", "build", "-o", binary, "cobaltflow/cmd/cobaltflow").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return binary, nil
})

// build returns the path of the binary, built once for all tests.
func build(t *testing.T) string {
	binary, err := buildOnce()
	require.NoError(t, err)
	return binary
}

// freeAddress returns an unused address outside of the ports that the kernel assigns, which another test could get at any time.
func freeAddress(t *testing.T) string {
	addresses, err := endpoints.FreePorts([4]byte{127, 0, 0, 1}, 1, false)
	require.NoError(t, err)
	return addresses[0].String()
}

// newProgram returns a process, not started yet, in a group of schedulers; mode is the discovery setting, push or ask.
func newProgram(t *testing.T, binary, listen, discovery, mode string, schedulers int) *program {
	p := &program{t: t, binary: binary, conf: filepath.Join(t.TempDir(), "config.json"), limit: 64}
	require.NoError(t, os.WriteFile(p.conf, fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"limits":{"sockets":64},
		"known":{"index":1,"snapshot":true,"endpoints":[]},
		"settings":{"discovery":%q,"groupSize":%d,"classes":[{"name":"move","effect":"once","deadlineUs":20000000}]}}`,
		listen, discovery, mode, schedulers), 0o600))
	return p
}

// serveDiscovery answers each request to discovery with the list, and sends the request's target on the channel.
func serveDiscovery(t *testing.T, address, list string) chan string {
	ln, err := net.Listen("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	targets := make(chan string, 64)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveList(c, list, targets)
		}
	}()
	return targets
}

// serveList answers the requests of one connection.
func serveList(c net.Conn, list string, targets chan<- string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if targets <- q.URL.RequestURI(); q.URL.Query().Get("watch") == "" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
			continue
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(list)+1, list)
	}
}

// Idle clients use all descriptors of their budget, and reconnect as soon as they are closed, while discovery is down. The
// watch nevertheless gets a descriptor in time, and its list is applied.
func TestIdleClientsDoNotBlockTheDiscoveryWatch(t *testing.T) {
	binary := build(t)
	for _, mode := range []string{"push", "ask"} {
		for _, schedulers := range []int{1, 300} {
			t.Run(fmt.Sprintf("lists %s, %d schedulers", mode, schedulers), func(t *testing.T) {
				t.Parallel()
				jobs := make(chan struct{}, 16)
				worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					io.Copy(io.Discard, r.Body)
					if r.Method == "POST" {
						jobs <- struct{}{}
					}
					w.WriteHeader(202)
				}))
				t.Cleanup(worker.Close)
				listen, discovery := freeAddress(t), freeAddress(t)
				p := newProgram(t, binary, listen, discovery, mode, schedulers)
				p.start()
				eventually(t, func() bool { return isReady(listen) })
				disconnect := connectIdleClients(t, listen)
				eventually(t, func() bool { return p.logged("reason=over-budget") && p.logged("party=discovery") })
				list := fmt.Sprintf(`{"index":2,"snapshot":true,"endpoints":[{"name":"s-1","address":%q,"zone":"","type":"","group":0,"status":"up"}]}`,
					worker.Listener.Addr())
				reachable := time.Now()
				requests := serveDiscovery(t, discovery, list)
				select {
				case <-requests:
				case <-time.After(testTimeout):
					t.Fatal("no request to discovery")
				}
				assert.Less(t, time.Since(reachable), listWithin)
				disconnect()
				eventually(t, func() bool {
					go sendJob(listen)
					select {
					case <-jobs:
						return true
					case <-time.After(100 * time.Millisecond):
						return false
					}
				})
			})
		}
	}
}

var jobCount atomic.Int64

// sendJob sends a job and ignores the outcome.
func sendJob(address string) {
	q, _ := http.NewRequest("POST", "http://"+address+"/move/k", nil)
	q.Header.Set("X-Correlation-Id", fmt.Sprint("id-", jobCount.Add(1)))
	q.Header.Set("X-Time-Left-Ms", "1000")
	if r, err := http.DefaultClient.Do(q); err == nil {
		r.Body.Close()
	}
}

// connectIdleClients keeps many idle clients connected, which reconnect when they are closed, until disconnect is called.
func connectIdleClients(t *testing.T, address string) (disconnect func()) {
	const clients = 200
	var all sync.WaitGroup
	done := make(chan struct{})
	disconnect = sync.OnceFunc(func() { close(done); all.Wait() })
	t.Cleanup(disconnect)
	for range clients {
		all.Go(func() {
			for {
				c, err := net.Dial("tcp", address)
				if err == nil {
					closed := make(chan struct{})
					go func() { io.Copy(io.Discard, c); close(closed) }()
					select {
					case <-closed:
					case <-done:
					}
					c.Close()
				}
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
	return disconnect
}

// isReady reports whether the clients' address answers that it is ready.
func isReady(address string) bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	r, err := client.Get("http://" + address + "/-/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, testTimeout, 10*time.Millisecond)
}

// Ten processes are killed and restarted at once, at the same addresses, while discovery accepts connections but sends
// nothing, or does not listen. At least nine are ready in time, with the list from their configuration.
func TestRestartedProcessesAreReadyInTime(t *testing.T) {
	const processes, minInTime = 10, 9
	binary := build(t)
	for _, silent := range []bool{true, false} {
		for _, mode := range []string{"push", "ask"} {
			t.Run(fmt.Sprintf("silent %v, lists %s", silent, mode), func(t *testing.T) {
				discovery := freeAddress(t)
				if silent {
					ln, err := net.Listen("tcp", discovery)
					require.NoError(t, err)
					defer ln.Close()
				}
				var all []*program
				var addresses []string
				for range processes {
					address := freeAddress(t)
					all, addresses = append(all, newProgram(t, binary, address, discovery, mode, 300)), append(addresses, address)
				}
				for _, p := range all {
					p.start()
				}
				for _, address := range addresses {
					eventually(t, func() bool { return isReady(address) })
				}
				for _, p := range all {
					p.kill()
				}
				restarted := time.Now()
				for _, p := range all {
					p.start()
				}
				inTime := 0
				for _, address := range addresses {
					eventually(t, func() bool { return isReady(address) })
					if time.Since(restarted) < readyWithin {
						inTime++
					}
				}
				assert.GreaterOrEqual(t, inTime, minInTime)
			})
		}
	}
}
