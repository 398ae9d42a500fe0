package main

import (
	"os"

	"siskinrun/internal/product/command"
	"siskinrun/platform"
)

func main() {
	c := command.NewCommand()
	c.Dialects[platform.Name] = platform.NewDialect()
	os.Exit(c.Run(os.Args[1:]))
}
