// Package queue admits requests to the slots of a service in weighted fair order between teams and refuses those
// that cannot start in time.
package queue
