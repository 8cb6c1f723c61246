package logging

import (
	"go.uber.org/zap"
)

// RecoverPanic logs a panic of its goroutine as an error with its stack, and ends it. It must be deferred directly.
func RecoverPanic(log *zap.Logger, message string) {
	if panicked := recover(); panicked != nil {
		log.Error(message, zap.Any("panic", panicked), zap.Stack("stack"))
	}
}
