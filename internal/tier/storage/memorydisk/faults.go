package memorydisk

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// dropAllOneIn: one loss of power in so many loses everything that was not synced.
const dropAllOneIn = 4

// Kill crashes the process that uses the disk and starts the next: all that was written stays, and its files are closed.
func (d *Disk) Kill() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.restart()
}

// restart starts the next process, without a crash armed.
func (d *Disk) restart() {
	d.process++
	d.crashArmed, d.crashed = false, false
}

// LosePower crashes the process and loses, chosen by the seed, some of what was not synced: each write since its file's last
// sync is applied, lost or torn, and each name that was created, renamed or removed since the directory's last sync is as it
// was or as it became, each by itself.
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
			node = &inode{durable: append([]byte(nil), node.durable...)}
			d.names[name], d.durableNames[name] = node, node
		}
		seen[node] = true
		node.losePower(random, dropAll)
		d.used += int64(len(node.content))
	}
	d.restart()
}

// loseNames reverts some of the changes of names since the last sync of the directory.
func (d *Disk) loseNames(random *rand.Rand, dropAll bool) {
	all := maps.Clone(d.durableNames)
	maps.Copy(all, d.names)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if d.names[name] == d.durableNames[name] {
			continue
		}
		if !dropAll && random.IntN(2) == 0 {
			continue
		}
		if node := d.durableNames[name]; node != nil {
			d.names[name] = node
		} else {
			delete(d.names, name)
		}
	}
	d.durableNames = maps.Clone(d.names)
}

// Corrupt inverts a byte, and makes the content of its file durable as it then is.
func (d *Disk) Corrupt(name string, offset int64) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	node := d.names[name]
	if node == nil || offset < 0 || offset >= int64(len(node.content)) {
		return fmt.Errorf("no byte %d in file %s", offset, name)
	}
	node.sync()
	node.content[offset] ^= 0xff
	node.durable = append([]byte(nil), node.content...)
	return nil
}

// Size returns the length of a file; 0 where there is none.
func (d *Disk) Size(name string) int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if node := d.names[name]; node != nil {
		return int64(len(node.content))
	}
	return 0
}
