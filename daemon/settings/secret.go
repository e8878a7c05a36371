package settings

import (
	"fmt"
	"io"
)

const redacted = "[redacted]"

// Secret is a value that is never printed, whatever the verb or encoding.
type Secret struct{ value string }

// NewSecret wraps a value.
func NewSecret(value string) Secret { return Secret{value: value} }

// Reveal returns the value.
func (s Secret) Reveal() string { return s.value }

// Set reports whether the value is not empty.
func (s Secret) Set() bool { return s.value != "" }

// Format implements fmt.Formatter.
func (s Secret) Format(f fmt.State, _ rune) {
	_, _ = io.WriteString(f, redacted)
}

// MarshalText implements encoding.TextMarshaler.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
