package membership

import (
	"testing"
)

func TestScenarios(t *testing.T) {
	t.Parallel()
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for seed := range uint64(campaignSeeds) {
				if err := s.run(seed); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
			}
		})
	}
}
