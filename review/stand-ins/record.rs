//! The record of a case: what was sent, answered and run, with times since its start.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The lines of a record, shared by all stand-ins.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started_at: Instant::now(), lines: Arc::default() }
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Adds a line with the present time.
    pub fn add(&self, line: String) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, line));
    }

    /// Adds a line and prints it.
    pub fn announce(&self, line: String) {
        println!("{:8.3} s  {line}", self.now().as_secs_f64());
        self.add(line);
    }

    /// Writes all lines to a file, in the order of their times.
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            writeln!(text, "{:8.3} s  {line}", at.as_secs_f64()).expect("a string takes text");
        }
        fs::write(path, text).expect("the record can be written");
    }
}
