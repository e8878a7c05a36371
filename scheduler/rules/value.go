package rules

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
)

// kind is the type of a name or of a field value.
type kind int

// Kinds of names and values. A kindWord is one of a list of allowed words.
const (
	kindName kind = iota
	kindDigest
	kindWord
	kindAddress
	kindCount
	kindDuration
	kindRate
	kindPercent
)

// value is a well-formed value: num for numbers, text for all other kinds.
// Numbers are in the base unit of their kind: milliseconds, bytes per second,
// thousandths of a percent, or a count.
type value struct {
	num  int64
	text string
}

// unit is a unit of measure and its size in the base unit of its kind.
type unit struct {
	name string
	size int64
}

// The units of each kind, smallest first.
var (
	countUnits    = []unit{{"", 1}}
	durationUnits = []unit{{"ms", 1}, {"s", 1000}, {"min", 60 * 1000}, {"h", 3600 * 1000}, {"d", 24 * 3600 * 1000}}
	rateUnits     = []unit{{"B/s", 1}, {"kbit/s", 125}, {"KiB/s", 1 << 10}, {"Mbit/s", 125 * 1000}, {"MiB/s", 1 << 20}, {"Gbit/s", 125 * 1000 * 1000}}
	percentUnits  = []unit{{"%", percentScale}}
)

const (
	// percentScale is the number of base units in one percent.
	percentScale = 1000
	// fractionScale is the factor that makes a number with three decimal places
	// an integer.
	fractionScale  = 1000
	fractionDigits = 3
	// maxDigits bounds the integer part of a number.
	maxDigits = 12
	// maxNameBytes is the maximum length of a DNS label.
	maxNameBytes = 63
	// digestBytes is the length of a SHA-256 digest in hexadecimal.
	digestBytes = 64
)

func (k kind) units() []unit {
	switch k {
	case kindDuration:
		return durationUnits
	case kindRate:
		return rateUnits
	case kindPercent:
		return percentUnits
	}
	return countUnits
}

// formatHint describes the form of a value of the kind.
func (k kind) formatHint() string {
	switch k {
	case kindDuration:
		return "write a duration such as 250ms, 2s, 5min, 24h or 7d"
	case kindRate:
		return "write a rate such as 512KiB/s or 30Mbit/s"
	case kindPercent:
		return "write a percentage such as 25% or 2.5%"
	case kindCount:
		return "write a whole number such as 8"
	case kindAddress:
		return "write an IP address and port such as 10.0.0.7:7401"
	case kindDigest:
		return "write the SHA-256 digest of the token as 64 lower-case hexadecimal digits"
	}
	return "use lower-case letters, digits and single hyphens, at most 63 bytes, starting with a letter"
}

// parseNumber parses a number with a unit and converts it to the base unit of
// its kind. It returns false if the text is malformed, the unit is not one of the
// kind, or the result is not a whole number or overflows.
func (k kind) parseNumber(raw string) (int64, bool) {
	digits := len(raw) - len(strings.TrimLeft(raw, "0123456789."))
	scaled, ok := parseDecimal(raw[:digits])
	if !ok {
		return 0, false
	}
	for _, u := range k.units() {
		if u.name != raw[digits:] {
			continue
		}
		if scaled > math.MaxInt64/u.size {
			return 0, false
		}
		product := scaled * u.size
		return product / fractionScale, product%fractionScale == 0
	}
	return 0, false
}

// parseDecimal parses a number with up to three decimal places and returns it
// in thousandths.
func parseDecimal(s string) (int64, bool) {
	whole, fraction, hasPoint := strings.Cut(s, ".")
	if whole == "" || len(whole) > maxDigits || len(fraction) > fractionDigits {
		return 0, false
	}
	if hasPoint && (fraction == "" || strings.Contains(fraction, ".")) {
		return 0, false
	}
	padded := whole + fraction + strings.Repeat("0", fractionDigits-len(fraction))
	n, err := strconv.ParseInt(padded, 10, 64)
	return n, err == nil
}

// formatNumber formats a number in the largest unit that needs no fraction.
func (k kind) formatNumber(n int64) string {
	if k == kindPercent {
		return formatPercent(n)
	}
	units := k.units()
	best := units[0]
	for _, u := range units {
		if n != 0 && n%u.size == 0 {
			best = u
		}
	}
	return strconv.FormatInt(n/best.size, 10) + best.name
}

func formatPercent(n int64) string {
	whole := strconv.FormatInt(n/percentScale, 10)
	rest := n % percentScale
	if rest == 0 {
		return whole + "%"
	}
	digits := strconv.FormatInt(percentScale+rest, 10)[1:]
	return whole + "." + strings.TrimRight(digits, "0") + "%"
}

// validAddress reports whether s is an IP address with a port in the form that
// netip.AddrPort prints. Port 0 and unspecified addresses are not valid.
func validAddress(s string) bool {
	address, err := netip.ParseAddrPort(s)
	return err == nil && address.Port() != 0 && !address.Addr().IsUnspecified() && address.String() == s
}

// validName reports whether s is a valid name of a rule object such as a region
// or a customer.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] < 'a' || s[0] > 'z' {
		return false
	}
	if strings.HasSuffix(s, "-") || strings.Contains(s, "--") {
		return false
	}
	return strings.Trim(s, "abcdefghijklmnopqrstuvwxyz0123456789-") == ""
}

// validDigest reports whether s is a SHA-256 digest in lower-case hexadecimal.
func validDigest(s string) bool {
	return len(s) == digestBytes && strings.Trim(s, "0123456789abcdef") == ""
}
