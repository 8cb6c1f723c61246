package fakeserver

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// testCommandPrefix begins a line that commands a connection, at hosts that obey test commands.
const testCommandPrefix = "DO "

// FloodLines is how many lines the command "flood" writes: more than the socket buffers on the path take.
const FloodLines = 20000

// maxFloodPadding bounds the padding of a flood line.
const maxFloodPadding = 1500

// FloodLine returns line i of a flood, with its end.
func FloodLine(i int) string {
	return fmt.Sprintf("F %d %s\r\n", i, strings.Repeat("x", i%maxFloodPadding))
}

// runTestCommand runs a test's command; ended reports that it ends the connection.
func (c *hostConnection) runTestCommand(command string) (ended bool, err error) {
	switch command {
	case "bye":
		_, err = io.WriteString(c.tcp, "BYE\r\n")
		return true, err
	case "move":
		_, err = io.WriteString(c.tcp, "MOVE\r\n")
		return true, err
	case "reset":
		c.reset()
		return true, nil
	case "flood":
		return false, c.flood()
	case "half":
		_, err = io.WriteString(c.tcp, "half a line")
	}
	return false, err
}

// flood writes FloodLines lines.
func (c *hostConnection) flood() error {
	w := bufio.NewWriter(c.tcp)
	for i := range FloodLines {
		_, _ = w.WriteString(FloodLine(i)) // Flush returns the error
	}
	return w.Flush()
}
