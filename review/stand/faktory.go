package stand

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// FaktoryConn is a connection of a client or worker of the Faktory work protocol.
type FaktoryConn struct {
	net.Conn
	in *bufio.Reader
}

// DialFaktory connects and says HELLO; an empty wid is that of a client that only pushes.
func DialFaktory(address, wid string) (*FaktoryConn, error) {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &FaktoryConn{Conn: nc, in: bufio.NewReader(nc)}
	nc.SetDeadline(time.Now().Add(2 * time.Second))
	if line, err := c.in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "+HI") {
		nc.Close()
		return nil, fmt.Errorf("greeting %q: %v", line, err)
	}
	hello := map[string]any{"v": 2, "hostname": "host", "pid": 4711}
	if wid != "" {
		hello["wid"], hello["labels"] = wid, []string{}
	}
	text, _ := json.Marshal(hello)
	if reply, err := c.Do("HELLO " + string(text)); err != nil || reply != "OK" {
		nc.Close()
		return nil, fmt.Errorf("HELLO: %q, %v", reply, err)
	}
	return c, nil
}

// Do sends a command and reads its reply; "" is a null. A reply that is an error comes with its "-".
func (c *FaktoryConn) Do(command string) (string, error) {
	c.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(c, command+"\r\n"); err != nil {
		return "", err
	}
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	switch {
	case strings.HasPrefix(line, "+"):
		return line[1:], nil
	case strings.HasPrefix(line, "$"):
		n, err := strconv.Atoi(line[1:])
		if err != nil || n < 0 {
			return "", err
		}
		buf := make([]byte, n+2)
		if _, err := io.ReadFull(c.in, buf); err != nil {
			return "", err
		}
		return string(buf[:n]), nil
	}
	return line, nil
}
