package capacity

import (
	"math"
	"strconv"
	"strings"
)

// Unit is the unit of a size or a row.
type Unit string

// The units. Bytes are shown in steps of 1,000: 1 KB is 1,000 bytes.
const (
	Number      Unit = "number"
	Bytes       Unit = "bytes"
	BytesPerS   Unit = "bytes/s"
	Cores       Unit = "cores"
	Seconds     Unit = "seconds"
	PerSecond   Unit = "1/s"
	PerDay      Unit = "1/day"
	PerJob      Unit = "1/job"
	Descriptors Unit = "descriptors"
)

func (u Unit) isValid() bool {
	switch u {
	case Number, Bytes, BytesPerS, Cores, Seconds, PerSecond, PerDay, PerJob, Descriptors:
		return true
	}
	return false
}

const significantDigits = 3 // digits of a computed figure

// computed shows a computed figure, rounded.
func (u Unit) formatRounded(value float64) string { return u.format(roundSignificant(value)) }

// show shows a figure as it is.
func (u Unit) format(value float64) string {
	switch u {
	case Bytes:
		return formatBytes(value)
	case BytesPerS:
		return formatBytes(value) + "/s"
	case Cores:
		return formatPlain(value) + " core"
	case Seconds:
		return formatSeconds(value)
	case PerSecond:
		return formatPlain(value) + "/s"
	case PerDay:
		return formatPlain(value) + " a day"
	case PerJob:
		return formatPlain(value) + " a job"
	}
	return formatPlain(value)
}

// rounded keeps the significant digits of a figure.
func roundSignificant(value float64) float64 {
	text := strconv.FormatFloat(value, 'e', significantDigits-1, 64)
	short, _ := strconv.ParseFloat(text, 64)
	return short
}

func formatBytes(value float64) string {
	const step = 1000
	names := []string{"B", "KB", "MB", "GB", "TB"}
	at := 0
	for math.Abs(value) >= step && at < len(names)-1 {
		value /= step
		at++
	}
	return formatPlain(trimFloatError(value)) + " " + names[at]
}

func formatSeconds(value float64) string {
	const milli, micro = 1e-3, 1e-6
	switch size := math.Abs(value); {
	case size == 0 || size >= 1:
		return formatPlain(value) + " s"
	case size >= milli:
		return formatPlain(trimFloatError(value/milli)) + " ms"
	}
	return formatPlain(trimFloatError(value/micro)) + " us"
}

// trimmed takes away what division leaves behind the digits that count.
func trimFloatError(value float64) float64 {
	const digits = 9
	text := strconv.FormatFloat(value, 'e', digits, 64)
	short, _ := strconv.ParseFloat(text, 64)
	return short
}

// plain writes a number without exponent, with separators of thousands.
func formatPlain(value float64) string {
	text := strconv.FormatFloat(value, 'f', -1, 64)
	sign := ""
	if strings.HasPrefix(text, "-") {
		sign, text = "-", text[1:]
	}
	whole, fraction, has := strings.Cut(text, ".")
	for at := len(whole) - 3; at > 0; at -= 3 {
		whole = whole[:at] + "," + whole[at:]
	}
	if has {
		whole += "." + fraction
	}
	return sign + whole
}
