// Package ask describes a request of a host for rate units of a team.
package ask
