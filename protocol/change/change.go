// Package change holds a change of an engine's prefix cache.
package change

// Change is one event of an engine's prefix cache.
type Change struct {
	// Seq grows by one from event to event of one run of the engine, from 1.
	Seq uint64
	// Prefix is the hash of the prompt's leading part; zero means none that is known by a hash.
	Prefix uint64
	// Stored tells that the prefix is cached from now on; otherwise it is not.
	Stored bool
	// Cleared tells that no prefix is cached any more.
	Cleared bool
}
