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
)

const (
	patience = 20 * time.Second // for a condition that has to come true
	// What discovery has counts as told so long after it can be reached again.
	toldWithin = 6 * time.Second
	// A process that was started anew is ready within so long, nine in ten of them, where the day is short.
	readyWithin = 6 * time.Second
)

// program is a process of the program, with its log.
type program struct {
	t      *testing.T
	binary string
	conf   string
	limit  int      // of its descriptors
	env    []string // beside the test's own
	cmd    *exec.Cmd

	mu  sync.Mutex
	log bytes.Buffer
}

func (p *program) Write(text []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(text)
}

func (p *program) times(text string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Count(p.log.Bytes(), []byte(text))
}

func (p *program) logged(text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Contains(p.log.Bytes(), []byte(text))
}

// start starts the process; it is killed when the test ends.
func (p *program) start() {
	p.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s serve", p.limit, p.binary))
	p.cmd.Env = append(append(os.Environ(), "RELAY_CONFIG="+p.conf), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	require.NoError(p.t, p.cmd.Start())
	cmd := p.cmd
	p.t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
}

// kill ends the process with no warning.
func (p *program) kill() {
	require.NoError(p.t, p.cmd.Process.Kill())
	p.cmd.Wait()
}

// binaries is the folder of the program as it is built for these tests.
var binaries string

func TestMain(m *testing.M) {
	var err error
	if binaries, err = os.MkdirTemp("", "cobaltflow-test-"); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(binaries)
	os.Exit(code)
}

var buildOnce = sync.OnceValues(func() (string, error) {
	binary := filepath.Join(binaries, "cobaltflow")
	out, err := exec.Command("go", "build", "-o", binary, "cobaltflow/cmd/cobaltflow").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return binary, nil
})

// build gives the path of the program, built once for all tests.
func build(t *testing.T) string {
	binary, err := buildOnce()
	require.NoError(t, err)
	return binary
}

// freeAddress is one that nobody listens at, from the kernel.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func newProgram(t *testing.T, binary, listen, discovery, mode string, schedulers int) *program {
	p := &program{t: t, binary: binary, conf: filepath.Join(t.TempDir(), "config.json"), limit: 64}
	require.NoError(t, os.WriteFile(p.conf, fmt.Appendf(nil, `{"name":"n0","listen":%q,"discovery":%q,"limits":{"sockets":64},
		"known":{"index":1,"snapshot":true,"endpoints":[]},
		"settings":{"discovery":%q,"groupSize":%d,"classes":[{"name":"move","effect":"once","deadlineUs":20000000}]}}`,
		listen, discovery, mode, schedulers), 0o600))
	return p
}

// calls answers each call to discovery with the list, and tells of it.
func calls(t *testing.T, address, list string) chan string {
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
			go answerCalls(c, list, targets)
		}
	}()
	return targets
}

func answerCalls(c net.Conn, list string, targets chan<- string) {
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

// Idle clients take every descriptor that they are let have, and come again as soon as they are closed, while discovery
// is down. Its watch gets one all the same, in time, and what it tells is taken.
func TestIdleClientsLeaveTheWatchItsDescriptor(t *testing.T) {
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
				until(t, func() bool { return ready(listen) })
				left := crowd(t, listen)
				until(t, func() bool { return p.logged("reason=over-budget") && p.logged("party=discovery") })
				list := fmt.Sprintf(`{"index":2,"snapshot":true,"endpoints":[{"name":"s-1","address":%q,"zone":"","type":"","group":0,"status":"up"}]}`,
					worker.Listener.Addr())
				reachable := time.Now()
				asked := calls(t, discovery, list)
				select {
				case <-asked:
				case <-time.After(patience):
					t.Fatal("no call came")
				}
				assert.Less(t, time.Since(reachable), toldWithin)
				left()
				until(t, func() bool {
					go ask(listen)
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

var asks atomic.Int64

// ask sends a job; its answer may never come.
func ask(address string) {
	q, _ := http.NewRequest("POST", "http://"+address+"/move/k", nil)
	q.Header.Set("X-Correlation-Id", fmt.Sprint("id-", asks.Add(1)))
	q.Header.Set("X-Time-Left-Ms", "1000")
	if r, err := http.DefaultClient.Do(q); err == nil {
		r.Body.Close()
	}
}

// crowd has clients connect, say nothing, and come again when they are closed, until it is left.
func crowd(t *testing.T, address string) (leave func()) {
	const clients = 200
	var all sync.WaitGroup
	over := make(chan struct{})
	leave = sync.OnceFunc(func() { close(over); all.Wait() })
	t.Cleanup(leave)
	for range clients {
		all.Go(func() {
			for {
				c, err := net.Dial("tcp", address)
				if err == nil {
					ended := make(chan struct{})
					go func() { io.Copy(io.Discard, c); close(ended) }()
					select {
					case <-ended:
					case <-over:
					}
					c.Close()
				}
				select {
				case <-over:
					return
				case <-time.After(10 * time.Millisecond):
				}
			}
		})
	}
	return leave
}

func ready(address string) bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	r, err := client.Get("http://" + address + "/-/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

func until(t *testing.T, f func() bool) {
	t.Helper()
	require.Eventually(t, f, patience, 10*time.Millisecond)
}

// Ten processes are killed and started anew at once, at their old addresses, with a discovery that takes calls and says
// nothing, or that nobody listens at: nine at least are ready in time, by the list that they were given.
func TestRestartedProcessesAreReadyInTime(t *testing.T) {
	const processes, enough = 10, 9
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
					until(t, func() bool { return ready(address) })
				}
				for _, p := range all {
					p.kill()
				}
				began := time.Now()
				for _, p := range all {
					p.start()
				}
				inTime := 0
				for _, address := range addresses {
					until(t, func() bool { return ready(address) })
					if time.Since(began) < readyWithin {
						inTime++
					}
				}
				assert.GreaterOrEqual(t, inTime, enough)
			})
		}
	}
}
