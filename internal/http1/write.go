package http1

import "strconv"

// reasonPhrases are the reason phrases of the status codes that AppendResponse is called with; others get an empty one.
var reasonPhrases = map[int]string{200: "OK", 202: "Accepted", 204: "No Content", 400: "Bad Request", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}

// AppendResponse appends a complete response to b. Further headers are given as alternating names and values.
func AppendResponse(b []byte, status int, keepAlive bool, body []byte, headers ...string) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(append(append(b, ' '), reasonPhrases[status]...), crlf...)
	if status != 204 {
		b = appendLength(b, len(body))
	}
	if !keepAlive {
		b = append(b, "Connection: close\r\n"...)
	}
	b = appendHeaders(b, headers)
	return append(append(b, crlf...), body...)
}

// AppendRequest appends the head of a request to b. The length is that of the body in bytes, or negative for a request
// without a body. Further headers are given as alternating names and values, and as complete field lines, which are
// copied as they are.
func AppendRequest(b []byte, method, target, host string, length int, lines []byte, headers ...string) []byte {
	b = append(append(append(append(b, method...), ' '), target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), crlf...)
	if length >= 0 {
		b = appendLength(b, length)
	}
	return append(append(appendHeaders(b, headers), lines...), crlf...)
}

func appendLength(b []byte, n int) []byte {
	return append(strconv.AppendInt(append(b, "Content-Length: "...), int64(n), 10), crlf...)
}

func appendHeaders(b []byte, headers []string) []byte {
	for i := 0; i+1 < len(headers); i += 2 {
		b = append(append(append(append(b, headers[i]...), ": "...), headers[i+1]...), crlf...)
	}
	return b
}
