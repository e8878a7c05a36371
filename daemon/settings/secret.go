package settings

import (
	"fmt"
	"io"
)

const redacted = "[redacted]"

// Secret is a value that no formatting verb or encoder prints.
type Secret struct{ value string }

// NewSecret returns a Secret with the value.
func NewSecret(value string) Secret { return Secret{value: value} }

// Reveal returns the value.
func (s Secret) Reveal() string { return s.value }

// IsSet reports whether the value is not empty.
func (s Secret) IsSet() bool { return s.value != "" }

// Format implements fmt.Formatter.
func (s Secret) Format(f fmt.State, _ rune) {
	_, _ = io.WriteString(f, redacted)
}

// MarshalText implements encoding.TextMarshaler.
func (s Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
