// Package drain decides whether an answer is finished on an endpoint that drains.
package drain

import "time"

// noticeShare is the part of the notice within which an answer must be complete to stay on a leaving endpoint.
const noticeShare = 0.5

// FitsNotice reports whether the rest of an answer fits into a leaving endpoint's notice with a safety margin.
//
// Migration costs a prefill of all tokens so far on another endpoint. Staying costs nothing if the answer is complete in
// time, but loses all of the work if it is not, so only half of the notice is used.
func FitsNotice(tokensLeft int, tokenTime, notice time.Duration) bool {
	rest := time.Duration(tokensLeft) * tokenTime
	return rest < time.Duration(noticeShare*float64(notice))
}
