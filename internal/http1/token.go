package http1

import "bytes"

// parseVersion returns the minor version of an HTTP/1 version, 0 or 1.
func parseVersion(v []byte) (minor int, err *Error) {
	if len(v) != 8 || string(v[:7]) != "HTTP/1." || v[7] != '0' && v[7] != '1' {
		return 0, malformed("unknown version")
	}
	return int(v[7] - '0'), nil
}

// parseUint parses a number without sign or space, and returns one above 2^31 as 2^31.
func parseUint(s []byte, base int) (n int, ok bool) {
	for _, c := range s {
		d := 99
		switch {
		case c >= '0' && c <= '9':
			d = int(c - '0')
		case c >= 'a' && c <= 'f':
			d = int(c-'a') + 10
		case c >= 'A' && c <= 'F':
			d = int(c-'A') + 10
		}
		if d >= base {
			return 0, false
		}
		n = min(n*base+d, 1<<31)
	}
	return n, len(s) > 0
}

// isTarget reports whether s is a request target in origin form without spaces or control characters.
func isTarget(s []byte) bool {
	if len(s) == 0 || s[0] != '/' {
		return false
	}
	for _, c := range s {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether s is a token as RFC 9110 defines it.
func isToken(s []byte) bool {
	for _, c := range s {
		switch {
		case c >= '0' && c <= '9', c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z':
		case bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), c) >= 0:
		default:
			return false
		}
	}
	return len(s) > 0
}

// equalFold compares without regard to the case of ASCII letters.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i := range b {
		x, y := b[i], s[i]
		if x >= 'A' && x <= 'Z' {
			x += 'a' - 'A'
		}
		if y >= 'A' && y <= 'Z' {
			y += 'a' - 'A'
		}
		if x != y {
			return false
		}
	}
	return true
}
