package loadtest

import (
	"context"
	"time"
)

// Progress is a snapshot of the counters of a run.
type Progress struct {
	Elapsed                  time.Duration
	Started, Finished        int64         // requests
	Open                     int64         // established connections
	Served, Rejected, Failed int64         // requests by outcome; Failed counts all outcomes other than Served and Rejected
	Lateness                 time.Duration // of the generator, 99th percentile
}

const (
	timelineSampleInterval = time.Second
	wakeupSampleInterval   = 10 * time.Millisecond
)

// sampleTimeline records the number of established connections once a second, and reports the progress.
func (e *engine) sampleTimeline(ctx context.Context) {
	for i := time.Duration(1); e.sleepUntil(ctx, i*timelineSampleInterval); i++ {
		e.recorder.updateBucket(e.now()-timelineSampleInterval/2, func(b *bucket) { b.established = e.recorder.established })
		if e.cfg.OnProgress != nil {
			e.cfg.OnProgress(e.progress())
		}
	}
}

func (e *engine) progress() Progress {
	p := Progress{Elapsed: e.now()}
	e.recorder.mu.Lock()
	defer e.recorder.mu.Unlock()
	p.Started = e.recorder.started
	p.Finished = e.recorder.finished
	p.Open = e.recorder.established
	for _, class := range e.recorder.classes {
		p.Served += class.outcomes[Served]
		p.Rejected += class.outcomes[Rejected]
	}
	p.Failed = p.Finished - p.Served - p.Rejected
	p.Lateness = time.Duration(e.recorder.lateness.ValueAtPercentile(99)) * time.Microsecond
	return p
}

// sampleWakeups measures how late sleeping goroutines of this process wake up. Every measured latency includes this
// delay.
func (e *engine) sampleWakeups(ctx context.Context) {
	for ctx.Err() == nil {
		begin := time.Now()
		time.Sleep(wakeupSampleInterval)
		delay := time.Since(begin) - wakeupSampleInterval
		e.recorder.mu.Lock()
		record(e.recorder.wakeupDelay, delay)
		e.recorder.mu.Unlock()
	}
}
