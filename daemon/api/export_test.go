package api

import "time"

// SetSleep replaces the function that waits between resends.
func (c *Client) SetSleep(sleep func(time.Duration)) { c.sleep = sleep }
