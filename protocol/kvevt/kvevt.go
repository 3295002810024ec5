// Package kvevt holds an event of an engine's prefix cache.
package kvevt

// Event is one event of an engine's prefix cache.
type Event struct {
	// Seq is the sequence number of the event; it starts at 1 with each start of the engine and grows by one.
	Seq uint64
	// Prefix is the hash of the prompt prefix; 0 means that the event has no known prefix.
	Prefix uint64
	// Stored is set when the prefix was added to the cache; otherwise it was evicted.
	Stored bool
	// Cleared is set when the whole cache was cleared.
	Cleared bool
}
