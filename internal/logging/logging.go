// Package logging configures zap to write one logfmt line for each event.
package logging

import (
	"io"
	"strings"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/magpielug/magpielug/internal/resultcode"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// timeLayout is RFC 3339 in UTC with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z"

const (
	// Of the lines with the same message and level in one sampleTick, the first
	// sampleFirst are written, then every sampleThereafter-th.
	sampleTick       = time.Second
	sampleFirst      = 300
	sampleThereafter = 100
)

// Sampled returns a logger that samples repeated messages, which limits the
// number of lines a second.
func (logger *Logger) Sampled() *Logger {
	sampled := logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleThereafter)
	}))
	return &Logger{Logger: sampled, Level: logger.Level}
}

// Logger is a zap logger whose level can be changed at run time.
type Logger struct {
	*zap.Logger
	Level zap.AtomicLevel
}

// New returns a logger that writes lines at or above level ("debug", "info",
// "warn" or "error") to output. An unknown level is an InvalidSettings error.
func New(level string, output io.Writer) (*Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil || parsed > zapcore.ErrorLevel {
		return nil, resultcode.New(resultcode.InvalidSettings, "log.level: %q is not one of debug, info, warn, error", level)
	}
	atomicLevel := zap.NewAtomicLevelAt(parsed)
	encoder := zaplogfmt.NewEncoder(encoderConfig())
	core := zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(output)), atomicLevel)
	return &Logger{Logger: zap.New(core), Level: atomicLevel}, nil
}

func encoderConfig() zapcore.EncoderConfig {
	return zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		MessageKey:     "event",
		EncodeTime:     encodeTime,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
}

func encodeTime(moment time.Time, encoder zapcore.PrimitiveArrayEncoder) {
	encoder.AppendString(moment.UTC().Format(timeLayout))
}

// ErrorFields returns the fields that describe err: the number and name of its
// result code, its text on one line and, at level debug, its eris stack trace.
func ErrorFields(logger *zap.Logger, err error) []zap.Field {
	code := resultcode.CodeOf(err)
	fields := []zap.Field{
		zap.Uint32("code", uint32(code)),
		zap.Stringer("name", code),
		zap.String("error", singleLine(err.Error())),
	}
	if logger.Core().Enabled(zapcore.DebugLevel) {
		fields = append(fields, zap.String("trace", singleLine(eris.ToString(err, true))))
	}
	return fields
}

// ErrorField returns err's text on one line as field "error", without the
// errorVerbose field that zap.Error adds. It skips a nil err.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", singleLine(err.Error()))
}

// singleLine replaces line breaks by " | ".
func singleLine(text string) string {
	return strings.Join(strings.FieldsFunc(text, isLineBreak), " | ")
}

func isLineBreak(character rune) bool { return character == '\n' || character == '\r' }

// Program returns the field with a program's ID.
func Program(id string) zap.Field { return zap.String("program", id) }

// Request returns the field with a request's ID.
func Request(id string) zap.Field { return zap.String("request", id) }
