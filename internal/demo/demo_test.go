package demo

import (
	"bytes"
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEveryDemoJobEnds(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, Run(context.Background(), &out, Options{Jobs: 120, Duration: 600 * time.Millisecond, Seed: 1, Log: slog.New(slog.DiscardHandler)}), out.String())
	assert.Regexp(t, `HTTP +move +\d+ +[1-9]`, out.String())
	assert.Regexp(t, `Faktory +settle +\d+ +`, out.String())
}
