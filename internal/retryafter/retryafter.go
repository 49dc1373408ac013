// Package retryafter parses the HTTP header Retry-After.
package retryafter

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Max is the longest time that Parse returns.
const Max = 24 * time.Hour

// Parse reads a number of seconds, an integer as in RFC 9110 or with a fraction, as some servers write it.
// It reports false for anything else; HTTP dates are not supported.
func Parse(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	return time.Duration(min(seconds, Max.Seconds()) * float64(time.Second)), true
}
