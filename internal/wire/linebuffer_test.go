package wire

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

// feedLines feeds text to a LineBuffer in pieces of size bytes and returns the lines.
func feedLines(t *testing.T, text string, size int) (lines []string, err error) {
	t.Helper()
	var in LineBuffer
	defer in.Release()
	for len(text) > 0 {
		space := in.Space()
		if len(space) == 0 {
			t.Fatal("no space, no line and no error")
		}
		n := copy(space, text[:min(size, len(text))])
		in.Advance(n)
		text = text[n:]
		for {
			line, ok, err := in.Next()
			if err != nil {
				return lines, err
			}
			if !ok {
				break
			}
			lines = append(lines, string(line))
		}
	}
	return lines, nil
}

// A line may arrive in pieces of any size. Line ends of one or two bytes are accepted.
func TestLineBuffer_AnyPieces_GivesCompleteLines(t *testing.T) {
	longest := strings.Repeat("x", MaxLine)
	text := "OPEN a b\r\n\r\nPING\n" + longest + "\r\nend\r\n"
	want := []string{"OPEN a b", "", "PING", longest, "end"}
	for _, size := range []int{1, 2, 3, 100, MaxLine, BufferSize} {
		lines, err := feedLines(t, text, size)
		if err != nil || fmt.Sprint(lines) != fmt.Sprint(want) {
			t.Errorf("pieces of %d bytes: %d lines, error %v, want 5 lines", size, len(lines), err)
		}
	}
}

// A line that is too long must be rejected, even if its end never arrives. Otherwise, the sender could block the
// connection.
func TestLineBuffer_LongLine_IsAnError(t *testing.T) {
	for _, text := range []string{strings.Repeat("x", MaxLine+1) + "\r\n", strings.Repeat("x", BufferSize)} {
		for _, size := range []int{1, 1000, BufferSize} {
			if lines, err := feedLines(t, text, size); !errors.Is(err, ErrTooLong) || len(lines) != 0 {
				t.Errorf("%d bytes in pieces of %d bytes: %d lines, error %v, want none and ErrTooLong", len(text), size, len(lines), err)
			}
		}
	}
}

// FuzzLineBuffer checks that the lines do not depend on the size of the pieces.
func FuzzLineBuffer(f *testing.F) {
	f.Add([]byte("OPEN a b c=x,d=5\r\nPING\n"), uint8(3))
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		var want []string
		for _, line := range bytes.SplitAfter(text, []byte("\n")) {
			if bytes.HasSuffix(line, []byte("\n")) {
				want = append(want, string(bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))))
			}
		}
		lines, err := feedLines(t, string(text), int(size)+1)
		if err == nil && fmt.Sprint(lines) != fmt.Sprint(want) {
			t.Errorf("lines %q, want %q", lines, want)
		}
	})
}
