package record

import (
	"crypto/rand"
	"encoding/hex"
)

// idBytes is the length of write ids in bytes, before hexadecimal encoding.
const idBytes = 8

// NewWriteID returns a random id that identifies one write of a row.
func NewWriteID() string {
	id := make([]byte, idBytes)
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}
