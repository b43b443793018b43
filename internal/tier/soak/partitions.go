package soak

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"mastusher/internal/tier/localtier"
)

// partitions controls network partitions through a file for each machine, which the partitionnetwork of its processes follows.
type partitions struct {
	folder string

	mutex   sync.Mutex                // guards blocked and the files
	blocked map[string]map[string]int // by machine: how many partitions drop what comes from each address
}

// newPartitions writes the files of a network without partitions.
func newPartitions(folder string, machines []localtier.Machine) (*partitions, error) {
	created := &partitions{folder: folder, blocked: map[string]map[string]int{}}
	for _, m := range machines {
		created.blocked[m.Name] = map[string]int{}
		if err := created.write(m); err != nil {
			return nil, err
		}
	}
	return created, nil
}

// path returns the file that lists the addresses from which a machine receives nothing.
func (p *partitions) path(m localtier.Machine) string { return filepath.Join(p.folder, "cuts-"+m.Name) }

// write replaces the file of a machine atomically.
func (p *partitions) write(m localtier.Machine) error {
	var addresses []string
	for address, count := range p.blocked[m.Name] {
		if count > 0 {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	next := p.path(m) + ".next"
	if err := os.WriteFile(next, []byte(strings.Join(addresses, "\n")), 0o644); err != nil {
		return err
	}
	return os.Rename(next, p.path(m))
}

// add starts (by 1) or ends (by -1) a partition that drops what a machine would receive from others.
func (p *partitions) add(to localtier.Machine, from []localtier.Machine, by int) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, m := range from {
		if m.Name != to.Name {
			p.blocked[to.Name][m.IP] += by
		}
	}
	return p.write(to)
}
