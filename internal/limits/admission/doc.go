// Package admission admits requests within the rate and burst of their team.
package admission
