// Package settings reads what a host knows of its fleet from a base file and the overlay of a site.
package settings
