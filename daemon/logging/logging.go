// Package logging makes the structured logger of a process.
package logging

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes JSON or text lines from a level on: debug,
// info or error.
func New(out io.Writer, level, format string) logr.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder := zapcore.NewJSONEncoder(encoding)
	if format == "text" {
		encoder = zapcore.NewConsoleEncoder(encoding)
	}
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(out)), levelOf(level))
	return zapr.NewLogger(zap.New(core))
}

func levelOf(name string) zapcore.Level {
	switch name {
	case "debug":
		return zapcore.DebugLevel
	case "error":
		return zapcore.ErrorLevel
	}
	return zapcore.InfoLevel
}
