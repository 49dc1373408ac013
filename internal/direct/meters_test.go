package direct

import "github.com/rcrowley/go-metrics"

// The library has one goroutine for all meters, which the first one starts. In a bubble of synctest it would keep that
// from being idle: the time of the first such test would stand still.
func init() { metrics.NewMeter().Stop() }
