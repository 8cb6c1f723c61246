package logging

import (
	"go.uber.org/zap"
)

// RecoverPanic recovers from a panic of its goroutine, and logs it as an error with its stack. It must be deferred
// directly.
func RecoverPanic(log *zap.Logger, message string) {
	if panicked := recover(); panicked != nil {
		log.Error(message, zap.Any("panic", panicked), zap.Stack("stack"))
	}
}
