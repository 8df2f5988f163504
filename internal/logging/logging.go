// Package logging makes the process's logger: one line of key=value pairs
// (logfmt) for each event, by zap.
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

// timeLayout writes UTC times to the millisecond.
const timeLayout = "2006-01-02T15:04:05.000Z"

const (
	// sampleTick is the time over which lines of one event are counted; of more
	// than sampleFirst of them, one in sampleThereafter is written.
	sampleTick       = time.Second
	sampleFirst      = 300
	sampleThereafter = 100
)

// Bounded returns a logger that writes a bounded number of lines a second.
func (logger *Logger) Bounded() *Logger {
	sampled := logger.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, sampleTick, sampleFirst, sampleThereafter)
	}))
	return &Logger{Logger: sampled, Level: logger.Level}
}

// Logger is the process's logger with its settable level.
type Logger struct {
	*zap.Logger
	Level zap.AtomicLevel
}

// New returns a logger that writes lines at or above level ("debug", "info",
// "warn" or "error") to output. An unknown level is an InvalidSettings error.
func New(level string, output io.Writer) (*Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil || parsed > zapcore.ErrorLevel {
		return nil, resultcode.New(resultcode.InvalidSettings, "log.level: %q is none of debug, info, warn, error", level)
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

// Failure returns the fields that describe err: its result code by number and
// name, its text on one line, and at level debug the trace that eris took.
func Failure(logger *zap.Logger, err error) []zap.Field {
	code := resultcode.CodeOf(err)
	fields := []zap.Field{
		zap.Uint32("code", uint32(code)),
		zap.Stringer("name", code),
		zap.String("error", oneLine(err.Error())),
	}
	if logger.Core().Enabled(zapcore.DebugLevel) {
		fields = append(fields, zap.String("trace", oneLine(eris.ToString(err, true))))
	}
	return fields
}

// Cause returns the field that tells err's text on one line, without the trace
// that zap would add.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", oneLine(err.Error()))
}

// oneLine joins the lines of text.
func oneLine(text string) string {
	return strings.Join(strings.FieldsFunc(text, isLineEnd), " | ")
}

func isLineEnd(character rune) bool { return character == '\n' || character == '\r' }

// Program names the program that an event is about.
func Program(id string) zap.Field { return zap.String("program", id) }

// Request names the request that an event is about.
func Request(id string) zap.Field { return zap.String("request", id) }
