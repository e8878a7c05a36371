package api

import "time"

// SetPause replaces the wait between resends.
func (c *Client) SetPause(pause func(time.Duration)) { c.pause = pause }
