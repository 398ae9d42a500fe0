// Package model describes a model that engines load.
package model
