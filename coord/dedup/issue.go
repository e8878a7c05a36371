package dedup

import (
	"math"
	"strconv"
	"strings"
	"time"
)

const issuePrefix = "issued-"

// maxIssueMillis is the largest issue time, in milliseconds, that a
// time.Duration can hold.
const maxIssueMillis = math.MaxInt64 / int64(time.Millisecond)

// NewKey returns a key with an issue time. The issue time must be a logical
// time of the table; it is rounded down to milliseconds. The suffix must make
// the key unique.
func NewKey(issued time.Duration, suffix string) string {
	return issuePrefix + strconv.FormatInt(issued.Milliseconds(), 10) + "-" + suffix
}

// IssueTime returns the issue time in a key, if there is one. It is part of the
// key, so a repeated request has the same issue time.
func IssueTime(key string) (time.Duration, bool) {
	rest, ok := strings.CutPrefix(key, issuePrefix)
	if !ok {
		return 0, false
	}
	digits, _, ok := strings.Cut(rest, "-")
	if !ok {
		return 0, false
	}
	millis, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || millis < 0 || millis > maxIssueMillis {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}
