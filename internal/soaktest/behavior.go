package soaktest

import (
	"context"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/fakeserver"
)

// behavior states how a client opens its connection, and whether the client follows the protocol.
type behavior uint8

const (
	behaviorNormal       behavior = iota // waits for the final answer, holds the connection and sends lines
	behaviorSplitOpening                 // sends the opening line in two parts
	behaviorPing                         // sends PING, and pauses before the opening line
	behaviorDisconnect                   // disconnects, possibly before the final answer
	behaviorReset                        // resets the connection, possibly before the final answer
	behaviorHalfOpening                  // sends half of the opening line and stays connected
	behaviorIdle                         // sends nothing
	behaviorFlood                        // sends floodSize bytes after the opening line and disconnects
	behaviorPipeline                     // sends two opening lines at once
	behaviorFloodMidFlow                 // opens as mid-flow, sends floodSize bytes and disconnects
	behaviorCount
)

// behaviorWeights are the relative frequencies of the behaviors.
var behaviorWeights = [behaviorCount]int{
	behaviorNormal:       60,
	behaviorSplitOpening: 8,
	behaviorPing:         8,
	behaviorDisconnect:   8,
	behaviorReset:        4,
	behaviorHalfOpening:  3,
	behaviorIdle:         3,
	behaviorFlood:        2,
	behaviorPipeline:     2,
	behaviorFloodMidFlow: 2,
}

func drawBehavior(rng *rand.Rand) behavior {
	total := 0
	for _, weight := range behaviorWeights {
		total += weight
	}
	at := rng.IntN(total)
	for b, weight := range behaviorWeights {
		at -= weight
		if at < 0 {
			return behavior(b)
		}
	}
	return behaviorNormal
}

const (
	// misbehaviorTimeout bounds how long a client that sends no valid opening line stays connected.
	misbehaviorTimeout = 3 * time.Second
	floodSize          = 48 << 10 // in bytes
	floodLine          = "M of a client that goes\r\n"
)

// send writes a text. It returns false if the connection is broken.
func (c *connection) send(text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// sendOpening sends the opening line according to the client's behavior. It returns false if the client does not wait
// for a final answer.
func (c *connection) sendOpening(ctx context.Context, line string) bool {
	half := len(line) / 2
	switch c.behavior {
	case behaviorIdle, behaviorHalfOpening, behaviorFlood, behaviorPipeline, behaviorFloodMidFlow:
		c.misbehave(ctx, line)
		return false
	case behaviorPing:
		if !c.send("PING\r\n") || !c.readPong() || !ctxtime.Sleep(ctx, c.pause) || c.isClosedByNode() {
			return false
		}
	case behaviorSplitOpening:
		if !c.send(line[:half]) || !ctxtime.Sleep(ctx, c.pause/4) {
			return false
		}
		line = line[half:]
	}
	if !c.send(line) {
		return false
	}
	c.recordRequest()
	if c.behavior == behaviorDisconnect || c.behavior == behaviorReset {
		ctxtime.Sleep(ctx, c.pause)
		c.disconnect()
		return false
	}
	return true
}

// misbehave executes a behavior for which the protocol requires no final answer.
func (c *connection) misbehave(ctx context.Context, line string) {
	switch c.behavior {
	case behaviorIdle:
		c.discard(misbehaviorTimeout)
	case behaviorHalfOpening:
		if c.send(line[:len(line)/2]) {
			c.discard(misbehaviorTimeout)
		}
	case behaviorFlood:
		c.send(line + strings.Repeat("x", floodSize))
	case behaviorPipeline:
		c.send(line + line)
		c.discard(misbehaviorTimeout)
	case behaviorFloodMidFlow:
		c.send(line + strings.Repeat(floodLine, floodSize/len(floodLine)))
		c.recordRequest()
		ctxtime.Sleep(ctx, c.pause)
		c.disconnect()
	}
}

// recordRequest records that the opening line has been sent, with the client's deadline as the detail.
func (c *connection) recordRequest() { c.record(fakeserver.EventRequested, c.deadline.String()) }
