// Command mallowwind is not built yet.
package main

func main() {}
