package config

// Capture is where decisions are recorded.
type Capture struct {
	Dir      string // "": nowhere
	On       bool   // from the start
	FileSize int64  // bytes from which on the next file begins
	DirSize  int64  // bytes of all files together
}

// capture reads the section capture.
func (p *parser) capture(c *Config) {
	c.Capture = Capture{Dir: p.text("capture.dir", ""), On: p.flag("capture.on", false),
		FileSize: int64(p.number("capture.file_kb", 4096, 64, 1<<20)) << 10,
		DirSize:  int64(p.number("capture.total_mb", 64, 0.25, 1<<20) * (1 << 20))}
	p.require("capture.dir", c.Capture.Dir != "" || !c.Capture.On, "missing: where captures go")
	p.require("capture.total_mb", c.Capture.DirSize >= 2*c.Capture.FileSize, "less than two files of capture.file_kb")
}
