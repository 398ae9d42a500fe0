// Package promise decides how much of the teams' rates the owner of a group leaves to the deputies of the failure domains.
package promise
