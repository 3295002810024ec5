.PHONY: build test check demo

build:
	go build -o bin/ . ./standin ./bench

test: build
	test/run.sh

check:
	test/check.sh

demo: build
	test/demo.sh
