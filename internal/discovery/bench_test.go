package discovery

import (
	"fmt"
	"testing"
)

// BenchmarkDecode decodes a full list in pieces of 16 KiB.
func BenchmarkDecode(b *testing.B) {
	for _, endpoints := range []int{1000, 33_000} {
		text := append(listText(1, endpoints), '\n')
		b.Run(fmt.Sprint(endpoints, " endpoints"), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				d := NewDecoder(mapping, DefaultLimits, func(Line) {})
				for rest := text; len(rest) > 0; {
					n := min(16<<10, len(rest))
					if err := d.Decode(rest[:n]); err != nil {
						b.Fatal(err)
					}
					rest = rest[n:]
				}
			}
		})
	}
}
