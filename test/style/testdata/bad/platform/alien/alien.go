// Package alien is a planted adapter that is larger than its part of the tree allows.
package alien

// Name is a wire name, which an adapter may use.
const Name = "Dragonflyroute-Request-Id"

// Other is another one.
const Other = "rows-tx"
