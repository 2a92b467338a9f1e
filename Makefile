# build, test, lint and run; .ci/run calls lint's checks and the README's test command.
.PHONY: build test race lint run clean

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -count=1 ./...

race:
	go test -race -count=1 ./...

lint:
	@test -z "$$(gofmt -l cmd internal rules)" || { echo "gofmt needed:"; gofmt -l cmd internal rules; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# Needs RELAY_CONFIG, or the other RELAY_ variables beside it; see the README.
run: build
	exec bin/cobaltflow-serve

clean:
	rm -rf bin
