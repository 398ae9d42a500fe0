// Package diagnostic collects the errors in settings, so that one run reports all of them.
package diagnostic
