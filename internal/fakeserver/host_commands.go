package fakeserver

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// testCommandPrefix is the prefix of a line that holds a test command, on hosts with HostConfig.ObeysTestCommands.
const testCommandPrefix = "DO "

// FloodLines is the number of lines that the test command "flood" writes. The lines do not fit into the socket buffers
// on the path.
const FloodLines = 20000

// maxFloodPadding bounds the padding of a flood line, in bytes.
const maxFloodPadding = 1500

// FloodLine returns line i of a flood, including the line end.
func FloodLine(i int) string {
	return fmt.Sprintf("F %d %s\r\n", i, strings.Repeat("x", i%maxFloodPadding))
}

// runTestCommand executes a test command. ended reports that the command ends the connection.
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
		_, _ = w.WriteString(FloodLine(i)) // Flush returns any error
	}
	return w.Flush()
}
