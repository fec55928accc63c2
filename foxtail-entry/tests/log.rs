//! The log's buffer is bounded and never blocks the writer.

use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foxtail_entry::log::non_blocking;
use parking_lot::{Condvar, Mutex};

/// An output that blocks all writes until it is opened.
#[derive(Clone, Default)]
struct GatedWriter(Arc<Shared>);

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    opened: Condvar,
}

#[derive(Default)]
struct State {
    open: bool,
    written: Vec<u8>,
}

impl GatedWriter {
    fn open(&self) {
        self.0.state.lock().open = true;
        self.0.opened.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.0.state.lock().written.clone()).unwrap()
    }
}

impl Write for GatedWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        let mut state = self.0.state.lock();
        while !state.open {
            self.0.opened.wait(&mut state);
        }
        state.written.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stalled_reader_blocks_no_writer_and_dropped_lines_are_counted() {
    let output = GatedWriter::default();
    let (mut log, guard) = non_blocking(output.clone());
    let line = [b'x'; 1_000];
    let started = Instant::now();
    for _ in 0..10_000 {
        log.write_all(&line).unwrap();
    }
    // Writing ten megabytes to memory takes a few milliseconds.
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    output.open();
    drop(guard);
    let text = output.text();
    let count: u64 = text
        .lines()
        .filter_map(|line| line.split_once("log_lines_dropped count="))
        .map(|(_, count)| count.parse::<u64>().unwrap())
        .sum();
    let written = text.matches('x').count() as u64 / 1_000;
    assert_eq!(written + count, 10_000);
    assert!(written <= 200, "{written} lines were buffered");
}

#[test]
fn buffered_lines_are_written_when_the_guard_is_dropped() {
    let output = GatedWriter::default();
    output.open();
    let (mut log, guard) = non_blocking(output.clone());
    for n in 0..20 {
        writeln!(log, "event=n n={n}").unwrap();
    }
    drop(guard);
    assert_eq!(output.text().lines().count(), 20);
}
