package memorydisk

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// dropAllOneIn is how many losses of power there are for one that takes away everything that was not synced.
const dropAllOneIn = 4

// Kill ends the process that uses the disk and starts the next: all that was written stays, and its files are closed.
func (d *Disk) Kill() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.restart()
}

// restart lets the next process use the disk.
func (d *Disk) restart() {
	d.process++
	d.stopArmed, d.stopped = false, false
}

// LosePower ends the process and takes away, by the seed, some of what was not synced: each write since its file's last
// sync is there, missing or torn, and each name that was made, renamed or removed since the folder's last sync is as it was
// or as it became, each by itself.
func (d *Disk) LosePower(seed uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	random := rand.New(rand.NewPCG(seed, 0))
	dropAll := random.IntN(dropAllOneIn) == 0
	d.loseNames(random, dropAll)
	d.used = 0
	seen := map[*inode]bool{}
	for _, name := range d.sortedNames() {
		node := d.names[name]
		if seen[node] { // a renamed file that kept both names
			node = &inode{lasting: append([]byte(nil), node.lasting...)}
			d.names[name], d.lasting[name] = node, node
		}
		seen[node] = true
		node.losePower(random, dropAll)
		d.used += int64(len(node.content))
	}
	d.restart()
}

// loseNames takes some changes of names back.
func (d *Disk) loseNames(random *rand.Rand, dropAll bool) {
	all := maps.Clone(d.lasting)
	maps.Copy(all, d.names)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if d.names[name] == d.lasting[name] {
			continue
		}
		if !dropAll && random.IntN(2) == 0 {
			continue
		}
		if node := d.lasting[name]; node != nil {
			d.names[name] = node
		} else {
			delete(d.names, name)
		}
	}
	d.lasting = maps.Clone(d.names)
}

// Corrupt inverts a byte that had lasted.
func (d *Disk) Corrupt(name string, offset int64) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	node := d.names[name]
	if node == nil || offset < 0 || offset >= int64(len(node.content)) {
		return fmt.Errorf("no byte %d in file %s", offset, name)
	}
	node.sync()
	node.content[offset] ^= 0xff
	node.lasting = append([]byte(nil), node.content...)
	return nil
}

// Size returns the length of a file, and 0 when it is not there.
func (d *Disk) Size(name string) int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if node := d.names[name]; node != nil {
		return int64(len(node.content))
	}
	return 0
}
