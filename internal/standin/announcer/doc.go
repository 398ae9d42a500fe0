// Package announcer announces a stand-in upstream to the hosts and reports its load.
package announcer
