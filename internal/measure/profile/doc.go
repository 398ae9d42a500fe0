// Package profile takes runtime profiles of this process for operators.
package profile
