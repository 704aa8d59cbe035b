package rrunit

// Drain calls f for each value that can be received without waiting. The channel must not be
// closed.
func Drain[T any](values <-chan T, f func(T)) {
	for {
		select {
		case v := <-values:
			f(v)
		default:
			return
		}
	}
}
