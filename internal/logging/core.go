package logging

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewCore returns a zap core that writes human-readable lines with ISO 8601 timestamps.
func NewCore(out zapcore.WriteSyncer, level zapcore.Level) zapcore.Core {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	return zapcore.NewCore(zapcore.NewConsoleEncoder(encoder), out, level)
}
