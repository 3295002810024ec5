// Package stay decides whether an answer stays on an endpoint that leaves.
package stay

import "time"

// noticeShare is the part of the notice within which an answer must be whole to stay on a leaving endpoint.
const noticeShare = 0.5

// Finishes reports whether the rest of an answer fits well into a leaving endpoint's notice.
//
// Moving costs a prefill of all tokens so far elsewhere; staying costs nothing if the answer is whole in time and
// everything if it is not, so only half of the notice is trusted.
func Finishes(tokensLeft int, tokenTime, notice time.Duration) bool {
	rest := time.Duration(tokensLeft) * tokenTime
	return rest < time.Duration(noticeShare*float64(notice))
}
