// Package benchmark reads what go test prints of benchmarks.
package benchmark
