// Package headerscan counts the lines of the header section of a request as its bytes arrive.
package headerscan
