# portrelay: the usual tasks. Java 17 and Maven are all they need.

.PHONY: build test lint run toy regression

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

# The days of daily operations and then the earlier ones, quick, on the operators' bench, which is no part of this
# repository: a few minutes with the machine to itself. Fails where the bench is not there, or a rule was broken.
KIT ?= ../given/kit
SCORE = $(KIT)/more/ops/bin/lbreal score $(KIT)/sites/idukki-maps.toml --quick

regression:
	@test -x $(KIT)/more/ops/bin/lbreal || { echo "regression: no bench at $(KIT); set KIT to where it is" >&2; exit 1; }
	@mkdir -p logs
	$(SCORE) --why "Regression: the days of daily operations" > logs/regression-new.txt 2>&1; cat logs/regression-new.txt
	$(SCORE) --panel later --why "Regression: the earlier days" > logs/regression-later.txt 2>&1; cat logs/regression-later.txt
	@grep -q "^score of the real nodes" logs/regression-new.txt && grep -q "^score of the real nodes" logs/regression-later.txt \
		|| { echo "regression: a score was not reached" >&2; exit 1; }
	@! grep BROKEN logs/regression-new.txt logs/regression-later.txt
