package wire

import (
	"strings"
	"testing"
)

// feedRelay feeds text in pieces of size bytes and returns the result of each call of CompleteLines.
func feedRelay(t *testing.T, r *Relay, text string, size int) (out []string, lines int, load float64) {
	t.Helper()
	for len(text) > 0 {
		space := r.Space()
		if len(space) == 0 {
			t.Fatal("no space and no complete line")
		}
		n := copy(space, text[:min(size, len(text))])
		r.Advance(n)
		text = text[n:]
		for {
			chunk, seen := r.CompleteLines()
			if len(chunk) == 0 {
				break
			}
			out = append(out, string(chunk))
			lines += seen.Responses
			if seen.Load > 0 {
				load = seen.Load
			}
		}
	}
	return out, lines, load
}

// Whatever the size of the pieces, each result ends with a complete line, so that the node can insert a line of its own
// after it. A malformed load report counts as a response.
func TestRelay_AnyPieces_GivesCompleteLinesUnchanged(t *testing.T) {
	text := "M 1 abc\r\nLOAD 12.5\r\nLOAD much\r\nM 2 LOAD 9\r\nLOAD 20\nBYE\r\n"
	for _, size := range []int{1, 3, 10, 1000} {
		var r Relay
		out, lines, load := feedRelay(t, &r, text, size)
		if strings.Join(out, "") != text {
			t.Errorf("pieces of %d bytes: returned as %q, want the text unchanged", size, out)
		}
		for _, chunk := range out {
			if !strings.HasSuffix(chunk, "\n") {
				t.Errorf("pieces of %d bytes: a chunk ends within a line: %q", size, chunk)
			}
		}
		if lines != 4 || load != 20 || r.Last() != ResponseClosed || !r.AtLineBoundary() {
			t.Errorf("pieces of %d bytes: %d responses, load %g, last %v; want 4 responses, load 20 and the close as the last", size, lines, load, r.Last())
		}
		r.Release()
	}
}

// A line that never ends does not block the connection, and the node does not insert a line of its own into it.
func TestRelay_LineFillsBuffer_IsPassedOn(t *testing.T) {
	var r Relay
	defer r.Release()
	text := strings.Repeat("x", BufferSize+10)
	out, _, _ := feedRelay(t, &r, text, 1000)
	if len(out) != 1 || len(out[0]) != BufferSize || r.AtLineBoundary() {
		t.Fatalf("%d chunks, at line boundary %v, want 1 chunk that fills the buffer and false", len(out), r.AtLineBoundary())
	}
	out, _, _ = feedRelay(t, &r, "\r\n", 2)
	if len(out) != 1 || !r.AtLineBoundary() {
		t.Errorf("after the line end: %q, at line boundary %v, want 1 chunk and true", out, r.AtLineBoundary())
	}
}

// A node relays many lines per second, and allocations for each of them would slow it down.
func TestRelay_Lines_DoNotAllocate(t *testing.T) {
	var r Relay
	defer r.Release()
	text := []byte("M 17 0123456789abcdef\r\nLOAD 12345.678\r\n")
	r.Space()
	if n := testing.AllocsPerRun(100, func() {
		r.Advance(copy(r.Space(), text))
		for {
			if chunk, _ := r.CompleteLines(); len(chunk) == 0 {
				break
			}
		}
	}); n != 0 {
		t.Errorf("%g allocations for two lines, want 0", n)
	}
}

// FuzzRelay checks that no byte is lost, added or changed.
func FuzzRelay(f *testing.F) {
	f.Add("M 1\r\nLOAD 5\r\nBYE\r\n", uint8(2))
	f.Fuzz(func(t *testing.T, text string, size uint8) {
		var r Relay
		defer r.Release()
		out, _, _ := feedRelay(t, &r, text, int(size)+1)
		if got := strings.Join(out, "") + string(r.Buffered()); got != text {
			t.Errorf("text returned as %q, want it unchanged", got)
		}
	})
}
