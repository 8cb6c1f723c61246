package lifecycle

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"onyxstream/internal/logging"
)

// debugVariable turns on debug lines, and turns off the sampling of all lines.
const debugVariable = "PROXY_DEBUG"

// Of one message, the log has the first few lines in an interval and then one in many: errors come in thousands, and
// must not make the log a bottleneck.
const (
	logSampleInterval = time.Second
	logSampleFirst    = 5
	logSampleOneIn    = 1000
)

// newLogger returns a logger to standard error that never blocks.
func newLogger(node string) *zap.Logger {
	output := logging.New(os.Stderr)
	if os.Getenv(debugVariable) != "" {
		return zap.New(logging.NewCore(output, zap.DebugLevel)).With(zap.String("node", node))
	}
	core := logging.NewCore(output, zap.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(core, logSampleInterval, logSampleFirst, logSampleOneIn)
	return zap.New(sampled).With(zap.String("node", node))
}
