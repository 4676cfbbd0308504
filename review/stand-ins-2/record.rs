//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(fs::File::create(path)?));
        Ok(Self { file, started_at: Instant::now() })
    }

    /// Seconds since the start of the run.
    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.seconds());
        if let Ok(mut file) = self.file.lock() {
            file.write_all(line.as_bytes()).ok();
        }
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.write(text);
        println!("{:8.3} s  {text}", self.seconds());
    }
}
