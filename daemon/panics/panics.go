// Package panics keeps a panic in the handling of one message or request from
// ending the process. What the message or request may have changed by half must
// be dropped by the caller.
package panics

import (
	"fmt"
	"runtime/debug"

	"github.com/go-logr/logr"
)

// Error reports a panic.
type Error struct {
	// Where names the place that recovered from the panic, for logs and metrics.
	Where string
	// Value is the text of the value passed to panic.
	Value string
	Stack string
}

// Error implements error.
func (e *Error) Error() string { return "panic in " + e.Where + ": " + e.Value }

// Catch runs f and returns a *Error if it panics.
func Catch(where string, f func()) (caught error) {
	defer func() {
		if value := recover(); value != nil {
			caught = &Error{Where: where, Value: fmt.Sprint(value), Stack: string(debug.Stack())}
		}
	}()
	f()
	return nil
}

// Observer counts panics, for metrics.
type Observer interface{ CountPanic(where string) }

// Log logs a panic with its stack and counts it. detail identifies the message or
// request; observer may be nil.
func Log(log logr.Logger, observer Observer, err error, detail ...any) {
	caught, ok := err.(*Error)
	if !ok {
		log.Error(err, "failed", detail...)
		return
	}
	if observer != nil {
		observer.CountPanic(caught.Where)
	}
	log.Error(err, "recovered from a panic", append(detail, "where", caught.Where, "stack", caught.Stack)...)
}
