package loadtest

import (
	"fmt"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Histograms record times in microseconds.
const (
	maxMicros       = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3 // significant decimal digits
	bucketDigits    = 2 // significant decimal digits in the timeline, which has many histograms
)

func newHistogram(digits int) *hdr.Histogram { return hdr.New(1, maxMicros, digits) }

// record adds a time to a histogram. A time outside the histogram's range counts as the nearest bound.
func record(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicros))
}

// Summary summarizes a distribution of times, in milliseconds.
type Summary struct {
	Count            int64   `json:"count"`
	Mean             float64 `json:"mean_ms"`
	P50              float64 `json:"p50_ms"`
	P90              float64 `json:"p90_ms"`
	P99              float64 `json:"p99_ms"`
	P999             float64 `json:"p999_ms"`
	Max              float64 `json:"max_ms"`
	EncodedHistogram string  `json:"hdr,omitempty"` // in HdrHistogram's V2 encoding, as base64; in microseconds
}

// summarize returns the summary of a histogram, with the encoded histogram itself if withHistogram is set.
func summarize(h *hdr.Histogram, withHistogram bool) Summary {
	s := Summary{Count: h.TotalCount()}
	if s.Count == 0 {
		return s
	}
	percentiles := h.ValueAtPercentilesSlice([]float64{50, 90, 99, 99.9, 100})
	s.Mean = h.Mean() / 1000
	s.P50 = milliseconds(percentiles[0])
	s.P90 = milliseconds(percentiles[1])
	s.P99 = milliseconds(percentiles[2])
	s.P999 = milliseconds(percentiles[3])
	s.Max = milliseconds(percentiles[4])
	if withHistogram {
		if encoded, err := h.EncodeV2(); err == nil {
			s.EncodedHistogram = string(encoded)
		}
	}
	return s
}

func milliseconds(micros int64) float64 { return float64(micros) / 1000 }

// Histogram decodes the histogram, which is in microseconds. It returns an empty one if the summary has none.
func (s *Summary) Histogram() (*hdr.Histogram, error) {
	if s.Count == 0 || s.EncodedHistogram == "" {
		return newHistogram(histogramDigits), nil
	}
	h, err := hdr.Decode([]byte(s.EncodedHistogram))
	if err != nil {
		return nil, fmt.Errorf("decode histogram: %w", err)
	}
	return h, nil
}
