package memorydisk

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// dropAllOneIn is the inverse of the probability that a power loss loses everything that was not synced.
const dropAllOneIn = 4

// Kill crashes the current process and starts the next one. All written data is kept; files opened before become unusable.
func (d *Disk) Kill() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.restart()
}

// restart starts the next process and clears a crash set by CrashAt.
func (d *Disk) restart() {
	d.process++
	d.crashArmed, d.crashed = false, false
}

// LosePower crashes the current process, loses some of the unsynced changes and starts the next process. The seed determines
// independently for each write since its file's last sync whether it is applied, torn or lost, and for each name that was created,
// renamed or removed since the directory's last sync whether the change is applied or lost.
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
		if seen[node] { // a rename whose removal of the old name was lost: both names refer to the file
			node = &inode{durable: append([]byte(nil), node.durable...)}
			d.names[name], d.durableNames[name] = node, node
		}
		seen[node] = true
		node.losePower(random, dropAll)
		d.used += int64(len(node.content))
	}
	d.restart()
}

// loseNames reverts some of the changes of names since the directory's last sync, or all of them with dropAll.
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

// Corrupt inverts a byte of a file, and makes the resulting content durable.
func (d *Disk) Corrupt(name string, offset int64) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	node := d.names[name]
	if node == nil || offset < 0 || offset >= int64(len(node.content)) {
		return fmt.Errorf("byte %d does not exist in file %s", offset, name)
	}
	node.sync()
	node.content[offset] ^= 0xff
	node.durable = append([]byte(nil), node.content...)
	return nil
}

// Size returns the length of a file, or 0 if the file doesn't exist.
func (d *Disk) Size(name string) int64 {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if node := d.names[name]; node != nil {
		return int64(len(node.content))
	}
	return 0
}
