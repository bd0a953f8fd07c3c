package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStallOfOnePeerIsNotWidespread(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	detector := &stalledConnDetector{}
	is.True(!detector.record("a", 8, now))
	is.True(!detector.record("a", 8, now.Add(time.Second)))                   // same peer again
	is.True(!detector.record("b", 8, now.Add(time.Second+2*stalledWindow)))   // outside the window
	is.True(detector.record("c", 8, now.Add(2*time.Second+2*stalledWindow)))  // second peer within the window
	is.True(!detector.record("d", 8, now.Add(2*time.Second+2*stalledWindow))) // reset after detection
	is.True((&stalledConnDetector{}).record("a", 1, now))                     // the only peer
}
