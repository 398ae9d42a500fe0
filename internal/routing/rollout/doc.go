// Package rollout decides which version of a model requests use while engines load the wanted one.
package rollout
