// Package hostile holds tests in which callers that keep to no rules meet a gateway. They
// start the real process on loopback addresses with lowered limits, and check what does not
// depend on the speed of the machine: that the process lives, that its memory and its open
// descriptors stay within the limits of its settings, and that an ordinary request is
// answered afterwards. The package has no code besides the tests, which need the build tag
// hostile: they measure memory, so they run one at a time and without the race detector.
package hostile
