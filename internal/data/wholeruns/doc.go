// Package wholeruns describes the services whose batch runs stop only for calls that have no other place.
package wholeruns
