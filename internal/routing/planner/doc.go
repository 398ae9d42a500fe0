// Package planner keeps models on engines as routes and demand ask for, from the host that leads.
package planner
