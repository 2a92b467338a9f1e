package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// class is a class of jobs as the settings state it. Times are in milliseconds.
type class struct {
	name             string
	effect           string // repeatable or once
	aimMS            int
	deadlineMS       int
	stretch          float64
	worth, lateWorth float64
}

// site holds the settings of a small deployment.
type site struct {
	classes        []class
	zones          []string
	kinds          []string
	discovery      string // push or ask
	maxAttempts    int
	secondCopies   bool
	drainGraceMS   int
	connectMS      int
	connIdleMS     int
	coldFrom       float64
	warmMS         int
	groupSize      int
	memoryMB       int
	sockets        int
	worthBy        string
	tellsStart     bool
	overloadFactor float64
}

// fijiTables returns the settings of fiji-tables, by the brief and the site file.
func fijiTables() site {
	return site{
		classes: []class{
			{"board-view", "repeatable", 500, 5000, 2, 3, 0.25},
			{"move", "once", 1000, 10000, 2, 2, 0.3},
			{"settle", "once", 1200, 20000, 2, 10, 0.3},
		},
		zones: []string{"suva", "lautoka"}, kinds: []string{"gen3", "gen2", "gen1"}, discovery: "push", maxAttempts: 4, drainGraceMS: 1000,
		connectMS: 150, connIdleMS: 60000, coldFrom: 0.31, warmMS: 8900, groupSize: 2, memoryMB: 192, sockets: 1024, worthBy: "request",
		tellsStart: true, overloadFactor: 3,
	}
}

func (s *site) settings() map[string]any {
	classes, stretch, kind := []any{}, []any{}, []any{}
	for _, c := range s.classes {
		classes = append(classes, map[string]any{"name": c.name, "effect": c.effect, "aimUs": c.aimMS * 1000, "deadlineUs": c.deadlineMS * 1000,
			"worth": c.worth, "lateWorth": c.lateWorth, "group": "all", "windowUs": 5000000, "streaming": false})
		stretch, kind = append(stretch, c.stretch), append(kind, -1)
	}
	return map[string]any{
		"caps": map[string]any{"cancel": true, "connIdleUs": s.connIdleMS * 1000, "connectTimeoutUs": s.connectMS * 1000, "cpuUsPerS": 500000,
			"maxOpen": 20000, "maxRetryAfterUs": 2000000, "mostTries": s.maxAttempts, "peers": false, "probes": true, "retryAfter": true,
			"secondCopies": s.secondCopies, "streamsPerConn": 1},
		"charges": map[string]any{"crossZone": 0.13, "probe": 0.0018, "handshake": 0.02, "lateFail": 0.05, "waste": 0.028},
		"classes": classes, "clients": map[string]any{"marksRetry": false}, "dcs": s.zones, "discovery": s.discovery, "domainType": "jobs",
		"groupSize": s.groupSize, "kinds": s.kinds, "locality": 0, "overShareWorth": 0.1, "rank": 0,
		"report": map[string]any{"fields": []string{"waiting", "avg_ms", "active", "x0"}, "how": "probe"},
		"rules": map[string]any{"answerSlackUs": 16000, "askWithinUs": 10000000, "coldFrom": s.coldFrom, "drainGraceUs": s.drainGraceMS * 1000,
			"overloadFactor": s.overloadFactor, "tipAfterUs": 1000000, "warmWithinUs": s.warmMS * 1000},
		"specifics": map[string]any{"classKind": kind, "classPriority": []int{0, 0, 1}, "classStretch": stretch, "progressUs": 0,
			"queueOrder": "fifo", "reportX0": "free_slots", "tellsStart": s.tellsStart},
		"stage": 0, "tenants": []any{}, "tickUs": 4000, "tiers": []string{"table-workers"}, "weights": "nominal", "worthBy": s.worthBy,
	}
}

// scheduler is one process of the program, started as the deploy file says.
type scheduler struct {
	name, listen string
	cmd          *exec.Cmd
	log          *os.File
	ended        chan struct{}
}

// freeAddress returns a loopback address whose port is free. It is below the ports that the kernel gives to connections, so that none of those takes
// it before the scheduler listens, or while that is started again.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", 10000+rand.IntN(20000))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
}

// startScheduler starts the program with the run line of the deploy file. own is the project's own file with further fronts; empty: none.
func startScheduler(root, dir, listen, discovery string, s site, known []endpoint, own string) (*scheduler, error) {
	tmp := filepath.Join(dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, err
	}
	config := map[string]any{"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": s.memoryMB, "sockets": s.sockets},
		"known":    map[string]any{"index": 1, "snapshot": true, "endpoints": known},
		"settings": s.settings()}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	run := "exec bin/cobaltflow serve"
	if own != "" {
		ownPath := filepath.Join(dir, "cobaltflow.json")
		if err := os.WriteFile(ownPath, []byte(own), 0o600); err != nil {
			return nil, err
		}
		run += " --config " + ownPath
	}
	log, err := os.Create(filepath.Join(dir, "scheduler.log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir, cmd.Stdout, cmd.Stderr = root, log, log
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_NAME=n0", "RELAY_LISTEN="+listen, "RELAY_DISCOVERY="+discovery, "TMPDIR="+tmp)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &scheduler{name: "n0", listen: listen, cmd: cmd, log: log, ended: make(chan struct{})}
	go func() { cmd.Wait(); close(p.ended) }()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && !p.hasEnded(); time.Sleep(50 * time.Millisecond) {
		if resp, err := http.Get("http://" + listen + "/-/ready"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return p, nil
			}
		}
	}
	p.kill()
	return nil, fmt.Errorf("the scheduler has ended, or was not ready within 20 s")
}

func (p *scheduler) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

func (p *scheduler) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

func (p *scheduler) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
	p.log.Close()
}
