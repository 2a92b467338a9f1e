package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a client got for a request.
type Answer struct {
	Status int // 0: none
	Body   string
	Err    error
	After  time.Duration
}

// Post sends one request on a connection of its own and waits for its answer, for as long as it tells the scheduler.
func Post(rec *Record, address, class, key, id string, left time.Duration, fields ...string) Answer {
	start := time.Now()
	answer := post(address, class, key, id, left, fields...)
	answer.After = time.Since(start)
	if answer.Err != nil {
		rec.Add("client: no answer to %s (%s): %v, after %.3f s", id, class, answer.Err, answer.After.Seconds())
	} else {
		rec.Add("client: answer to %s (%s): %d %q, after %.3f s", id, class, answer.Status, answer.Body, answer.After.Seconds())
	}
	return answer
}

func post(address, class, key, id string, left time.Duration, fields ...string) Answer {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(left + 500*time.Millisecond))
	text := fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left-Ms: %d\r\n",
		class, key, id, class, left.Milliseconds())
	for i := 0; i+1 < len(fields); i += 2 {
		text += fields[i] + ": " + fields[i+1] + "\r\n"
	}
	if _, err := io.WriteString(nc, text+"Content-Length: 4\r\n\r\nwork"); err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Err: err}
	}
	return Answer{Status: response.StatusCode, Body: string(body)}
}

// PostAfter is Post, with a wait between the connection and the request.
func PostAfter(rec *Record, address, class, key, id string, left, wait time.Duration) Answer {
	nc, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer nc.Close()
	time.Sleep(wait)
	nc.SetDeadline(time.Now().Add(left + 500*time.Millisecond))
	fmt.Fprintf(nc, "POST /%s/%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left-Ms: %d\r\nContent-Length: 4\r\n\r\nwork",
		class, key, id, class, left.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		rec.Add("client: no answer to %s: %v", id, err)
		return Answer{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Body: string(body), Err: err}
}
