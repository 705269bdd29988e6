package balance

import "carawaypick/pkg/clock"

// maxBuckets is the number of buckets in the window of a WindowedMax.
const maxBuckets = 8

// WindowedMax is the greatest of the positive values of a window, which is exact to an eighth of it.
type WindowedMax struct {
	Window clock.Span

	values  [maxBuckets]float64
	buckets [maxBuckets]int64 // time bucket that each value belongs to
}

func (m *WindowedMax) bucket(now clock.Time) int64 {
	return int64(now) * maxBuckets / int64(m.Window)
}

// Add adds a value.
func (m *WindowedMax) Add(now clock.Time, value float64) {
	bucket := m.bucket(now)
	i := bucket % maxBuckets
	if m.buckets[i] != bucket {
		m.buckets[i], m.values[i] = bucket, 0
	}
	m.values[i] = max(m.values[i], value)
}

// Max returns the greatest value of the window, 0 for none.
func (m *WindowedMax) Max(now clock.Time) (greatest float64) {
	bucket := m.bucket(now)
	for i, value := range m.values {
		if bucket-m.buckets[i] < maxBuckets {
			greatest = max(greatest, value)
		}
	}
	return greatest
}
