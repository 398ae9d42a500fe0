// Package logwriter writes log lines without ever holding up those who log.
package logwriter
