// Package planner loads the models that routes and demand need onto engines; it runs on the leading host.
package planner
