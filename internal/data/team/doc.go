// Package team describes who pays for requests.
package team
