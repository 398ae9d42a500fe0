// Package steadylistener accepts connections through shortages of descriptors and memory.
package steadylistener
