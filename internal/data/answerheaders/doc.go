// Package answerheaders describes the control information in the headers of an upstream's answer.
package answerheaders
