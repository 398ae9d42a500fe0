// Package command implements the command line of siskinrun and its subcommands.
package command
