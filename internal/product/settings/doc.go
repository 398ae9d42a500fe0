// Package settings reads and checks the settings of a host: a base file, merged with the overlay of a site.
package settings
