// Command siskinrun serves online and batch inference on one fleet of hosts.
package main
