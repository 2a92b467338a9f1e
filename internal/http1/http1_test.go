package http1

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestParseRequest(t *testing.T) {
	const h = "Host: x\r\n"
	big := strings.Repeat("a", MaxHead)
	for _, c := range []struct {
		name, text string
		status     int // of the expected error; 0: the request is valid
		target     string
		body       string
		closes     bool
	}{
		{name: "plain", text: "GET /a HTTP/1.1\r\n" + h + "\r\n", target: "/a"},
		{name: "leading blank lines", text: "\r\n\r\nGET /a HTTP/1.1\r\n" + h + "\r\n", target: "/a"},
		{name: "query", text: "GET /a?b=c HTTP/1.1\r\n" + h + "\r\n", target: "/a?b=c"},
		{name: "body", text: "POST /a HTTP/1.1\r\n" + h + "content-LENGTH: 3\r\n\r\nxyz", target: "/a", body: "xyz"},
		{name: "chunked body", text: "POST /a HTTP/1.1\r\n" + h + "Transfer-Encoding: Chunked\r\n\r\n2\r\nxy\r\n1;e=f\r\nz\r\n0\r\nT: u\r\n\r\n",
			target: "/a", body: "xyz"},
		{name: "close", text: "GET /a HTTP/1.1\r\n" + h + "Connection: x, Close\r\n\r\n", target: "/a", closes: true},
		{name: "1.0", text: "GET /a HTTP/1.0\r\n\r\n", target: "/a", closes: true},
		{name: "1.0 keep-alive", text: "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", target: "/a"},
		{name: "no host", text: "GET /a HTTP/1.1\r\n\r\n", status: 400},
		{name: "two hosts", text: "GET /a HTTP/1.1\r\n" + h + h + "\r\n", status: 400},
		{name: "bare LF", text: "GET /a HTTP/1.1\n" + h + "\r\n", status: 400},
		{name: "bare LF in headers", text: "GET /a HTTP/1.1\r\nHost: x\n\r\n", status: 400},
		{name: "no version", text: "GET /a\r\n" + h + "\r\n", status: 400},
		{name: "other version", text: "GET /a HTTP/2.0\r\n" + h + "\r\n", status: 400},
		{name: "space in target", text: "GET /a b HTTP/1.1\r\n" + h + "\r\n", status: 400},
		{name: "target in absolute form", text: "GET http://x/ HTTP/1.1\r\n" + h + "\r\n", status: 400},
		{name: "method with an invalid character", text: "G(T /a HTTP/1.1\r\n" + h + "\r\n", status: 400},
		{name: "space before colon", text: "GET /a HTTP/1.1\r\nHost : x\r\n\r\n", status: 400},
		{name: "folded header", text: "GET /a HTTP/1.1\r\n" + h + " more\r\n\r\n", status: 400},
		{name: "NUL in value", text: "GET /a HTTP/1.1\r\nHost: \x00\r\n\r\n", status: 400},
		{name: "CR in value", text: "GET /a HTTP/1.1\r\nHost: a\rb\r\n\r\n", status: 400},
		{name: "two lengths", text: "POST /a HTTP/1.1\r\n" + h + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", status: 400},
		{name: "list of lengths", text: "POST /a HTTP/1.1\r\n" + h + "Content-Length: 1, 1\r\n\r\nx", status: 400},
		{name: "signed length", text: "POST /a HTTP/1.1\r\n" + h + "Content-Length: +1\r\n\r\nx", status: 400},
		{name: "length and chunks", text: "POST /a HTTP/1.1\r\n" + h + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", status: 400},
		{name: "unsupported transfer coding", text: "POST /a HTTP/1.1\r\n" + h + "Transfer-Encoding: gzip, chunked\r\n\r\n", status: 400},
		{name: "malformed chunk size", text: "POST /a HTTP/1.1\r\n" + h + "Transfer-Encoding: chunked\r\n\r\n0x1\r\nx\r\n", status: 400},
		{name: "empty chunk size", text: "POST /a HTTP/1.1\r\n" + h + "Transfer-Encoding: chunked\r\n\r\n\r\n", status: 400},
		{name: "malformed chunk end", text: "POST /a HTTP/1.1\r\n" + h + "Transfer-Encoding: chunked\r\n\r\n1\r\nxyz", status: 400},
		{name: "endless chunk size", text: "POST /a HTTP/1.1\r\n" + h + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 300), status: 400},
		{name: "large body", text: "POST /a HTTP/1.1\r\n" + h + "Content-Length: 65537\r\n\r\n", status: 413},
		{name: "length overflows an integer", text: "POST /a HTTP/1.1\r\n" + h + "Content-Length: 99999999999999999999999\r\n\r\n", status: 413},
		{name: "large chunk", text: "POST /a HTTP/1.1\r\n" + h + "Transfer-Encoding: chunked\r\n\r\nfffff\r\n", status: 413},
		{name: "many small chunks", text: "POST /a HTTP/1.1\r\n" + h + "Transfer-Encoding: chunked\r\n\r\n" +
			strings.Repeat("1;"+strings.Repeat("e", 200)+"\r\nx\r\n", 1500), status: 413},
		{name: "long line", text: "GET /" + big, status: 431},
		{name: "long header", text: "GET / HTTP/1.1\r\nX: " + big, status: 431},
		{name: "many headers", text: "GET / HTTP/1.1\r\n" + strings.Repeat("X: y\r\n", maxHeaders+1), status: 431},
	} {
		t.Run(c.name, func(t *testing.T) {
			var req Request
			need, err := ParseRequest([]byte(c.text), &req)
			if c.status != 0 {
				if assert.NotNil(t, err) {
					assert.Equal(t, c.status, err.Status, err.Text)
				}
				return
			}
			assert.Nil(t, err)
			assert.Zero(t, need)
			assert.Equal(t, c.target, string(req.Target))
			assert.Equal(t, c.body, string(req.Body))
			assert.Equal(t, c.closes, !req.KeepAlive)
			assert.Equal(t, len(c.text), req.Size)
			for i := range len(c.text) { // every incomplete prefix asks for more bytes
				need, err := ParseRequest([]byte(c.text[:i]), &req)
				assert.Nil(t, err, "%q", c.text[:i])
				assert.True(t, need > i && need <= len(c.text), "%q needs %d", c.text[:i], need)
			}
			_, err = ParseRequest([]byte(c.text+"GET /next"), &req)
			assert.Nil(t, err)
			assert.Equal(t, len(c.text), req.Size, "bytes behind the request are left alone")
		})
	}
}

func TestParseResponse(t *testing.T) {
	for _, c := range []struct {
		text   string
		status int // 0: an error is expected
		body   string
		closes bool
	}{
		{"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", 202, "", false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", 200, "hi", false},
		{"HTTP/1.1 200\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi", 200, "hi", true},
		{"HTTP/1.1 204 No Content\r\n\r\n", 204, "", false},
		{"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", 503, "a", false},
		{"HTTP/1.1 2x0 OK\r\n\r\n", 0, "", false},
		{"HTTP/1.1 099 OK\r\n\r\n", 0, "", false},
		{"HTTP/1.1 2000 OK\r\n\r\n", 0, "", false},
		{"SMTP ready\r\n\r\n", 0, "", false},
	} {
		var resp Response
		_, err := ParseResponse([]byte(c.text), &resp, false)
		if c.status == 0 {
			assert.NotNil(t, err, c.text)
			continue
		}
		assert.Nil(t, err, c.text)
		assert.Equal(t, c.status, resp.Status)
		assert.Equal(t, c.body, string(resp.Body))
		assert.Equal(t, c.closes, !resp.KeepAlive)
		assert.Equal(t, len(c.text), resp.Size)
		for i := range len(c.text) {
			need, err := ParseResponse([]byte(c.text[:i]), &resp, false)
			assert.Nil(t, err)
			assert.Greater(t, need, i)
		}
	}
	var resp Response
	need, err := ParseResponse([]byte("HTTP/1.1 200 OK\r\n\r\nrest"), &resp, false)
	assert.True(t, need > 0 && err == nil, "a body without a length ends with the connection")
	_, err = ParseResponse([]byte("HTTP/1.1 200 OK\r\n\r\nrest"), &resp, true)
	assert.Nil(t, err)
	assert.Equal(t, "rest", string(resp.Body))
}

func TestAppend(t *testing.T) {
	assert.Equal(t, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 1\r\nConnection: close\r\nRetry-After: 2\r\n\r\nx",
		string(AppendResponse(nil, 503, false, []byte("x"), "Retry-After", "2")))
	assert.Equal(t, "HTTP/1.1 204 No Content\r\n\r\n", string(AppendResponse(nil, 204, true, nil)))
	assert.Equal(t, "DELETE /jobs/a HTTP/1.1\r\nHost: h\r\n\r\n", string(AppendRequest(nil, "DELETE", "/jobs/a", "h", -1, nil)))
}
