// Command mallowctl is not built yet.
package main

func main() {}
