package transport

import (
	"net"
	"time"
)

// writeChunkBytes is the amount of data written under one deadline. At
// 30 Mbit/s shared by 20 connections a chunk takes 350 ms, well below the
// silence timeout.
const writeChunkBytes = 64 << 10

// deadlineConn fails a read or write on which the connection makes no progress
// for the timeout. It does not bound the time of a whole frame: on a busy link
// a frame of 1 MiB may take longer than the silence timeout.
type deadlineConn struct {
	conn    net.Conn
	timeout time.Duration
}

// Read implements io.Reader. It fails if no data arrives within the timeout.
func (c *deadlineConn) Read(p []byte) (int, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.conn.Read(p)
}

// Write implements io.Writer. It writes in chunks and fails if a chunk is not
// accepted within the timeout.
func (c *deadlineConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		if err := c.conn.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return written, err
		}
		end := min(written+writeChunkBytes, len(p))
		n, err := c.conn.Write(p[written:end])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
