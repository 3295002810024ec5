package peers

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"github.com/dragonflyroute/dragonflyroute/protocol/fault"
	"github.com/dragonflyroute/dragonflyroute/protocol/kind"
)

// maxMessageBytes bounds the size of one message, so that an endless one ends its connection instead of exhausting the
// memory.
const maxMessageBytes = 4 << 20

// lineCodec encodes each message as one line of JSON.
type lineCodec struct{}

// WriteObject writes one message.
func (lineCodec) WriteObject(w io.Writer, message any) error {
	return json.NewEncoder(w).Encode(message)
}

// ReadObject reads one message into the value that message points to; it returns a TooLarge error for one of more than
// maxMessageBytes.
func (lineCodec) ReadObject(r *bufio.Reader, message any) error {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxMessageBytes {
			return fault.New(kind.TooLarge, "message", "exceeds %d bytes", maxMessageBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return err
		}
		return json.Unmarshal(line, message)
	}
}
