// Command parsleyproxy runs one instance of the router and its operator commands.
package main

func main() {}
