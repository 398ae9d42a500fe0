// Package faultinjection injects faults into the answers of stand-ins.
package faultinjection
