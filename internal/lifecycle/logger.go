package lifecycle

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"onyxstream/internal/logging"
)

// debugVariable names the environment variable that turns on debug lines and turns off log sampling.
const debugVariable = "PROXY_DEBUG"

// Log sampling: in each interval the log keeps the first logSampleFirst lines with the same message, and one in
// logSampleOneIn of the others. Thousands of errors may be logged at once, and must not make the log a bottleneck.
const (
	logSampleInterval = time.Second
	logSampleFirst    = 5
	logSampleOneIn    = 1000
)

// newLogger returns a logger that writes to standard error without blocking the caller.
func newLogger(node string) *zap.Logger {
	output := logging.New(os.Stderr)
	if os.Getenv(debugVariable) != "" {
		return zap.New(logging.NewCore(output, zap.DebugLevel)).With(zap.String("node", node))
	}
	core := logging.NewCore(output, zap.InfoLevel)
	sampled := zapcore.NewSamplerWithOptions(core, logSampleInterval, logSampleFirst, logSampleOneIn)
	return zap.New(sampled).With(zap.String("node", node))
}
