// Package measure runs a gateway as a separate process on one core, generates load from the other cores, and prints tables
// of throughput, latency and memory. The command's measure calls it.
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"cobaltflow/internal/affinity"
	"cobaltflow/internal/procfs"
)

// part is a named measurement that a command may select.
type part struct {
	name string
	run  func() error
}

// Options configures the measurements of RunFaktory and of RunHTTP.
type Options struct {
	Binary        string  // program of the gateway; empty: the present one
	EarlierBinary string  // an earlier build to compare with; empty: none
	Core          int     // the core that the gateway runs on
	Seconds       float64 // duration of each measurement
	Parts         string  // names of the parts to run; empty: all
}

// runParts runs the selected parts, or all if none is selected, and moves this process off the measured core. An empty
// binary is replaced by the path of the present program.
func runParts(ctx context.Context, w io.Writer, o *Options, parts []part) error {
	if o.Binary == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		o.Binary = self
	}
	affinity.AvoidCore(o.Core)
	for _, p := range parts {
		if o.Parts != "" && !strings.Contains(o.Parts, p.name) {
			continue
		}
		if err := p.run(); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		fmt.Fprintln(w)
	}
	return nil
}

// gateway is a gateway process and the addresses of its fronts.
type gateway struct {
	cmd     *exec.Cmd
	http    string
	http2   string
	faktory string
	dir     string // temporary folder with its configuration and log
}

// freeAddress returns a loopback address on which nothing listens at the moment.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// gatewayOptions configures a gateway process.
type gatewayOptions struct {
	binary    string
	isEarlier bool           // the binary is an earlier build, which reads the platform's file and a separate Faktory file
	core      int            // the core that the process runs on; below 0: any
	workers   []string       // addresses of the table workers
	faktory   map[string]any // settings of the Faktory front that replace the defaults
	memoryMB  int            // memory limit; 0: 1024
}

// startGateway runs a gateway and waits until its HTTP and Faktory fronts accept connections.
func startGateway(o gatewayOptions) (*gateway, error) {
	dir, err := os.MkdirTemp("", "measure")
	if err != nil {
		return nil, err
	}
	g := &gateway{dir: dir}
	if g.http, err = freeAddress(); err == nil {
		g.faktory, err = freeAddress()
	}
	if err == nil {
		g.http2, err = freeAddress()
	}
	if err != nil {
		return nil, err
	}
	if o.memoryMB == 0 {
		o.memoryMB = 1024
	}
	env, args, err := g.configure(o)
	if err != nil {
		return nil, err
	}
	g.cmd = exec.Command(o.binary, args...)
	g.cmd.Env = append(os.Environ(), env...)
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	g.cmd.Stdout, g.cmd.Stderr = log, log
	if err := affinity.StartOnCore(g.cmd, o.core); err != nil {
		return nil, err
	}
	for _, address := range []string{g.http, g.faktory} { // Faktory is the last front to listen
		if err := waitReachable(address); err != nil {
			text, _ := os.ReadFile(filepath.Join(dir, "log"))
			g.stop()
			return nil, fmt.Errorf("the gateway did not start: %w\n%s", err, text)
		}
	}
	return g, nil
}

// waitReachable waits up to 200 attempts, 20 ms apart, until the address accepts connections.
func waitReachable(address string) (err error) {
	for range 200 {
		var c net.Conn
		if c, err = net.DialTimeout("tcp", address, time.Second); err == nil {
			return c.Close()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return err
}

// configure writes the gateway's configuration files and returns the environment and arguments to start it with.
func (g *gateway) configure(o gatewayOptions) (env, args []string, err error) {
	classes := []map[string]any{}
	for _, c := range classTable {
		classes = append(classes, map[string]any{"name": c.name, "effect": c.effect, "deadline_ms": c.deadlineMS, "aim_ms": c.latencyTargetMS, "worth": c.value})
	}
	limits := map[string]any{"cores": 1, "memory_mb": o.memoryMB, "sockets": 4096}
	workers := []map[string]any{}
	for i, address := range o.workers {
		workers = append(workers, map[string]any{"name": fmt.Sprint("table-", i), "address": address})
	}
	write := func(name string, v any) (string, error) {
		text, err := json.Marshal(v)
		path := filepath.Join(g.dir, name)
		if err == nil {
			err = os.WriteFile(path, text, 0o600)
		}
		return path, err
	}
	if !o.isEarlier {
		f := map[string]any{"listen": g.faktory, "default_class": "board-view", "max_sessions": 1000, "max_held_jobs": 400_000,
			"max_queue_jobs": 400_000, "max_client_jobs": 400_000, "max_held_mb": 400, "max_client_mb": 400, "table_queues": []string{}}
		for k, v := range o.faktory {
			f[k] = v
		}
		path, err := write("cobaltflow.json", map[string]any{"log": map[string]any{"level": "warn"},
			"scheduler": map[string]any{"name": "measured", "listen": g.http, "limits": limits, "classes": classes, "workers": workers,
				"rules": map[string]any{"max_attempts": 4}}, "faktory": f,
			"http2": map[string]any{"listen": g.http2, "max_connections": 1000}})
		return nil, []string{"serve", "--config", path}, err
	}
	for _, c := range classes {
		c["deadlineUs"], c["aimUs"] = c["deadline_ms"].(int)*1000, c["aim_ms"].(int)*1000
	}
	discovery, err := freeAddress()
	if err != nil {
		return nil, nil, err
	}
	known := []map[string]any{}
	for _, w := range workers {
		known = append(known, map[string]any{"name": w["name"], "address": w["address"], "zone": "here", "type": "any", "status": "up", "weight": 1})
	}
	platform, err := write("platform.json", map[string]any{"name": "measured", "listen": g.http, "discovery": discovery, "limits": limits,
		"known": map[string]any{"index": 1, "snapshot": true, "endpoints": known},
		"settings": map[string]any{"classes": classes, "caps": map[string]any{"cancel": true, "mostTries": 4, "retryAfter": true},
			"rules": map[string]any{"warmWithinUs": 1, "tipAfterUs": 1, "coldFrom": 1}, "specifics": map[string]any{"tellsStart": true}}})
	if err != nil {
		return nil, nil, err
	}
	path, err := write("faktory.json", map[string]any{"listen": g.faktory, "max_sessions": 1000})
	return []string{"RELAY_CONFIG=" + platform}, []string{"serve", "-faktory", path}, err
}

// stop kills the gateway process and removes its folder.
func (g *gateway) stop() {
	if g.cmd.Process != nil {
		g.cmd.Process.Kill()
		g.cmd.Wait()
	}
	os.RemoveAll(g.dir)
}

// cpuTime returns the CPU time that the gateway has used, or 0 if it can't be read.
func (g *gateway) cpuTime() time.Duration {
	used, err := procfs.ProcessorTime(g.cmd.Process.Pid)
	if err != nil {
		return 0
	}
	return used
}

// memory returns a value of the gateway's memory in bytes, by its key in /proc/PID/status, or 0 if it can't be read.
func (g *gateway) memory(key string) int64 {
	size, err := procfs.Memory(g.cmd.Process.Pid, key)
	if err != nil {
		return 0
	}
	return size
}
