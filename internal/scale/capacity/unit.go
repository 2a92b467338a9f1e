package capacity

import (
	"math"
	"strconv"
	"strings"
)

// Unit is the unit of a size or a row.
type Unit string

// Units. Byte prefixes are powers of 1,000: 1 KB is 1,000 bytes.
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

const significantDigits = 3 // of a computed figure

// formatRounded formats a computed figure, rounded to the significant digits.
func (u Unit) formatRounded(value float64) string { return u.format(roundSignificant(value)) }

// format formats a figure without rounding.
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

// roundSignificant rounds a figure to the significant digits.
func roundSignificant(value float64) float64 {
	text := strconv.FormatFloat(value, 'e', significantDigits-1, 64)
	rounded, _ := strconv.ParseFloat(text, 64)
	return rounded
}

func formatBytes(value float64) string {
	const step = 1000
	names := []string{"B", "KB", "MB", "GB", "TB"}
	index := 0
	for math.Abs(value) >= step && index < len(names)-1 {
		value /= step
		index++
	}
	return formatPlain(trimFloatError(value)) + " " + names[index]
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

// trimFloatError rounds to 10 significant digits, which removes the floating-point error of a division.
func trimFloatError(value float64) float64 {
	const digits = 9
	text := strconv.FormatFloat(value, 'e', digits, 64)
	trimmed, _ := strconv.ParseFloat(text, 64)
	return trimmed
}

// formatPlain formats a number without an exponent and with thousands separators.
func formatPlain(value float64) string {
	text := strconv.FormatFloat(value, 'f', -1, 64)
	sign := ""
	if strings.HasPrefix(text, "-") {
		sign, text = "-", text[1:]
	}
	whole, fraction, hasFraction := strings.Cut(text, ".")
	for index := len(whole) - 3; index > 0; index -= 3 {
		whole = whole[:index] + "," + whole[index:]
	}
	if hasFraction {
		whole += "." + fraction
	}
	return sign + whole
}
