package main

import "testing"

func TestDeclarationIsAccepted(t *testing.T) {
	for _, f := range declare().Check() {
		t.Error(f)
	}
}
