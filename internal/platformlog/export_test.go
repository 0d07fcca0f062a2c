package platformlog

import "time"

// SetTransferTimeout replaces the time that a call has whose reply keeps arriving.
func (c *Client) SetTransferTimeout(d time.Duration) { c.transferTimeout = d }
