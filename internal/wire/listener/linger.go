package listener

import (
	"io"
	"time"
)

// lingerTime bounds the wait for a caller to end a connection that this host has ended.
const lingerTime = 500 * time.Millisecond

// linger ends the sending side and discards what the caller still sends. A close with unread bytes would reset the connection,
// and the answer on its way would be lost.
func (c *conn) linger() {
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(c.listener.Timer.DeadlineIn(lingerTime))
	_, _ = io.Copy(io.Discard, c.Conn)
}
