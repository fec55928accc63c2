//! What was sent, answered and run.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    /// The length of the body that the server got.
    pub body_len: usize,
    /// Its checksum.
    pub body_sum: u64,
    /// When the server had handed over its whole answer, in seconds.
    pub answered: Option<f64>,
}

/// The record of a play, which is also written to a file.
pub struct Record {
    started: Instant,
    out: Mutex<BufWriter<File>>,
    runs: Mutex<HashMap<String, Vec<Run>>>,
}

impl Record {
    /// Creates the record at `path`.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let out = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self { started: Instant::now(), out, runs: Mutex::default() })
    }

    /// Returns the seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.out.lock().unwrap(), "{now:8.3} {text}");
    }

    /// Writes what is buffered.
    pub fn flush(&self) {
        let _ = self.out.lock().unwrap().flush();
    }

    /// Records that a server began to run a request.
    pub fn runs(&self, id: &str, server: &str, body_len: usize, body_sum: u64) {
        let run = Run { body_len, body_sum, answered: None };
        self.runs.lock().unwrap().entry(id.to_owned()).or_default().push(run);
        self.line(&format!("run begins request={id} server={server} body={body_len}"));
    }

    /// Records that a run ended, with an answer unless its connection closed.
    pub fn ran(&self, id: &str, server: &str, answered: bool) {
        if answered {
            let mut runs = self.runs.lock().unwrap();
            let run = runs.get_mut(id).and_then(|runs| runs.last_mut());
            if let Some(run) = run {
                run.answered = Some(self.now());
            }
        }
        let end = if answered { "answered" } else { "connection closed" };
        self.line(&format!("run ends request={id} server={server} {end}"));
    }

    /// Returns the runs of a request.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        self.runs.lock().unwrap().get(id).cloned().unwrap_or_default()
    }
}
