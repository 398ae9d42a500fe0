// Package queue holds requests until their service has room, in fair order between teams.
package queue
