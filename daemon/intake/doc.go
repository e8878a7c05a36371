// Package intake bounds the memory that the clients of an HTTP server can take. It charges
// each request against a budget of bytes of the process before its body is read, and drops
// the request that is slowest for its size when the budget is short.
//
// A connection that waits for a request is charged nothing. From its first byte on, a request
// is charged requestBytes for its buffers; before its body is read, a multiple of the size of
// the body for the body and its decoded form. The charge ends when the response is written or
// the connection is closed.
package intake
