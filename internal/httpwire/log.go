package httpwire

import (
	"bytes"
	"io"
)

// unsolicitedPrefix begins the line that net/http logs for bytes which arrive on an idle connection.
var unsolicitedPrefix = []byte("Unsolicited response received on idle HTTP channel")

// LogFilter passes the lines of the standard logger to Out, without the bytes of a server that net/http quotes in them:
// they may be those of a request that is confined to a region.
type LogFilter struct{ Out io.Writer }

// Write implements io.Writer. The standard logger writes each line with one call.
func (f LogFilter) Write(line []byte) (int, error) {
	kept := line
	if i := bytes.Index(line, unsolicitedPrefix); i >= 0 {
		kept = append(bytes.Clone(line[:i+len(unsolicitedPrefix)]), '\n')
	}
	if _, err := f.Out.Write(kept); err != nil {
		return 0, err
	}
	return len(line), nil
}
