package wire

import (
	"testing"
	"time"
)

// A Retry-After rounded down to 0 would let the client retry at once.
func TestRejection_RetryAfter_RoundsUp(t *testing.T) {
	for after, want := range map[time.Duration]string{0: "BUSY\r\n", -1: "BUSY\r\n", time.Microsecond: "BUSY 1\r\n",
		1500 * time.Microsecond: "BUSY 2\r\n", time.Second: "BUSY 1000\r\n"} {
		if got := Rejection(after); got != want {
			t.Errorf("Retry-After %v: line %q, want %q", after, got, want)
		}
	}
}

// Words are recognized only if they are complete and in upper case. UP without a receipt does not prove that the host
// established the connection.
func TestParseResponse_Lines_Recognized(t *testing.T) {
	for line, want := range map[string]Response{"UP r-1": ResponseEstablished, "UP": ResponseUnknown, "UP ": ResponseUnknown, "UPPER": ResponseUnknown,
		"BYE": ResponseClosed, "MOVE": ResponseMigrate, "ERR": ResponseFailed, "ERR why": ResponseFailed, "BUSY": ResponseRejected,
		"SYNTAX": ResponseUnknown, "": ResponseUnknown, "up x": ResponseUnknown} {
		if got := ParseResponse([]byte(line)); got != want {
			t.Errorf("line %q parsed as %v, want %v", line, got, want)
		}
	}
}
