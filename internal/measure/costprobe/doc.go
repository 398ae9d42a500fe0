// Package costprobe measures the CPU time and memory of components at several sizes.
package costprobe
