// Package team describes the teams that pay for requests.
package team
