// Package benchmark parses the benchmark results that go test prints.
package benchmark
