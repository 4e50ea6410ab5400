# portrelay: the usual tasks. Java 17 and Maven are all they need.

.PHONY: build test lint run toy

build:
	mvn -q -B -DskipTests package

test:
	mvn -B verify

# The compiler's warnings count as errors here.
lint:
	mvn -q -B -DskipTests -Dmaven.compiler.failOnWarning=true clean compile

# One sidecar with the example's configuration; start the toy first, in another shell.
run: build
	java -jar daemon/target/portrelay.jar serve --config examples/config.json

toy:
	java examples/ToyServer.java
