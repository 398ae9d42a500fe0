// Package command is the command line of siskinrun.
package command
