// Package answertext generates the deterministic answers of a stand-in engine.
package answertext
