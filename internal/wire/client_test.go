package wire

import "testing"

// A client that leaves less time than the unit that is counted in leaves some all the same: none would stand for one that
// does not say, and it would be answered seconds after its time.
func TestParseHello_LeastTime_IsNotNone(t *testing.T) {
	for _, d := range []string{"0.0001", "0.0004", "0.001", "1"} {
		_, o, err := ParseOpening([]byte("OPEN id key c=chat,d=" + d))
		if err != nil || o.Timeout <= 0 {
			t.Errorf("d=%s: waits %v, error %v", d, o.Timeout, err)
		}
	}
}
