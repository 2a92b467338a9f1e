package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Builds both programs as the deploy file does, and runs them as separate processes.
func TestBothProgramsStart(t *testing.T) {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "cobaltflow/cmd/...").CombinedOutput()
	require.NoError(t, err, string(out))

	host := exec.Command(filepath.Join(bin, "wirehost"))
	host.Stdin = strings.NewReader("CLOCK\t1\nCOMMIT\n")
	answer, err := host.Output()
	require.NoError(t, err)
	assert.Equal(t, "FINISHED\n", string(answer))

	checkServe(t, bin)
	checkCommands(t, bin)
}

// checkServe checks that the program serves, reloads its configuration and ends on SIGTERM.
func checkServe(t *testing.T, bin string) {
	discovery, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer discovery.Close()
	conf := filepath.Join(bin, "config.json")
	require.NoError(t, os.WriteFile(conf, fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,
		"known":{"index":1,"snapshot":true,"endpoints":[]},
		"settings":{"classes":[{"name":"move","effect":"once","deadlineUs":1000000}]}}`, discovery.Addr()), 0o600))
	serve, lines, address := startServe(t, bin, conf, discovery.Addr().String())
	r, err := http.Get("http://" + address + "/-/ready")
	require.NoError(t, err)
	assert.Equal(t, 200, r.StatusCode)

	checkReload(t, serve, lines, conf, discovery.Addr().String())

	require.NoError(t, serve.Process.Signal(syscall.SIGTERM))
	ending, _ := io.ReadAll(lines)
	assert.NoError(t, serve.Wait(), "exit 0 after SIGTERM")
	assert.Contains(t, string(ending), "msg=ended taken=0")
}

// startServe starts the program with a platform configuration file. lines is the log after the line with the address.
func startServe(t *testing.T, bin, conf, discovery string) (serve *exec.Cmd, lines *bufio.Reader, address string) {
	serve = exec.Command(filepath.Join(bin, "cobaltflow"), "serve")
	serve.Env = append(os.Environ(), "RELAY_CONFIG="+conf, "RELAY_DISCOVERY="+discovery)
	log, err := serve.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, serve.Start())
	lines = bufio.NewReader(log)
	first, err := lines.ReadString('\n')
	require.NoError(t, err)
	for !strings.Contains(first, "msg=serves") { // notes on the configuration may come first
		first, err = lines.ReadString('\n')
		require.NoError(t, err)
	}
	_, rest, found := strings.Cut(first, "address=")
	require.True(t, found, first)
	address, _, _ = strings.Cut(rest, " ")
	return serve, lines, address
}

// checkReload sends SIGHUP: an invalid file is reported with its key and changes nothing; a valid one takes precedence over
// the environment of the start.
func checkReload(t *testing.T, serve *exec.Cmd, lines *bufio.Reader, conf, discovery string) {
	newDiscovery, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { newDiscovery.Close() })
	text, err := os.ReadFile(conf)
	require.NoError(t, err)
	for _, c := range []struct{ discovery, want string }{
		{"nowhere", `the old configuration is kept" error="discovery: \"nowhere\" is not address:port"`},
		{newDiscovery.Addr().String(), "reload: taken over"},
	} {
		next := strings.Replace(string(text), discovery, c.discovery, 1)
		require.NoError(t, os.WriteFile(conf, []byte(next), 0o600))
		require.NoError(t, serve.Process.Signal(syscall.SIGHUP))
		for line := ""; !strings.Contains(line, c.want); {
			line, err = lines.ReadString('\n')
			require.NoError(t, err, "log ended before %q", c.want)
		}
	}
	watch, err := newDiscovery.Accept()
	require.NoError(t, err)
	watch.Close()
}

// checkCommands runs the other commands and checks their output.
func checkCommands(t *testing.T, bin string) {
	old := filepath.Join(bin, "faktory.json")
	require.NoError(t, os.WriteFile(old, []byte(`{"listen":"127.0.0.1:7419","queue":"default"}`), 0o600))
	for args, want := range map[string]string{
		"check": "RELAY_NAME", "nothing": "unknown command", "serve": "name: missing", "check -faktory " + old: `section "faktory"`,
		"check --config " + old:       `listen: the keys of deploy/faktory.json now stand in the section "faktory"`,
		"check --config nowhere.json": "config: open nowhere.json",
	} {
		c := exec.Command(filepath.Join(bin, "cobaltflow"), strings.Fields(args)...)
		c.Env = []string{"PATH=" + os.Getenv("PATH")}
		out, err := c.CombinedOutput()
		assert.Error(t, err, args)
		assert.Contains(t, string(out), want)
	}
	for args, want := range map[string]string{
		"--version": "0.2", "version": "0.2", "--help": "completion", "completion bash": "__start_cobaltflow",
		"check --config ../../deploy/example.json": "configuration of gateway: good", "describe config": "draft/2020-12",
		"check ../../internal/describe/openapi.yaml": "good, OpenAPI",
	} {
		out, err := exec.Command(filepath.Join(bin, "cobaltflow"), strings.Fields(args)...).CombinedOutput()
		assert.NoError(t, err, args)
		assert.Contains(t, string(out), want)
	}
}
