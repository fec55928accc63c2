//! Logs to standard output, one line of key=value pairs for each event.
//!
//! A thread writes the lines from a bounded buffer, so that a slow reader of the log never delays a
//! request. Lines that do not fit into the buffer are dropped and counted.

use std::io::Write;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Context;
use parking_lot::{Condvar, Mutex};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry};

/// The maximum size of the buffer, in bytes. At most one buffer is written per
/// [`FLUSH_INTERVAL`], which limits the volume of the log.
const BUFFER_BYTES: usize = 64 * 1024;

/// The pause between two writes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(100);

/// Owns the writing thread; dropping it writes the buffered lines and ends the thread.
pub struct Guard {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

/// A writer into the bounded buffer. Never blocks; lines that do not fit are dropped and counted.
#[derive(Clone)]
pub struct NonBlockingWriter(Arc<Shared>);

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    wake: Condvar,
}

#[derive(Default)]
struct State {
    buf: Vec<u8>,
    dropped: u64,
    closed: bool,
}

/// Installs the process-wide log, filtered by `filter` in the syntax of [`EnvFilter`].
///
/// # Errors
///
/// Returns an error if `filter` is malformed or a global subscriber is already installed.
pub fn start(filter: &str) -> anyhow::Result<Guard> {
    let filter = EnvFilter::try_new(filter).context("`--log`")?;
    let (writer, guard) = non_blocking(std::io::stdout());
    let layer = tracing_logfmt::builder().layer().with_writer(writer);
    Registry::default()
        .with(filter)
        .with(layer)
        .try_init()
        .context("can't install the log; expected no other global subscriber")?;
    Ok(guard)
}

/// Starts a thread that writes buffered lines to `out`. Returns the writer into the buffer and the
/// thread's guard.
pub fn non_blocking(out: impl Write + Send + 'static) -> (NonBlockingWriter, Guard) {
    let shared = Arc::new(Shared::default());
    let thread_shared = Arc::clone(&shared);
    let thread = std::thread::spawn(move || write_out(&thread_shared, out));
    (NonBlockingWriter(Arc::clone(&shared)), Guard { shared, thread: Some(thread) })
}

fn write_out(shared: &Shared, mut out: impl Write) {
    loop {
        let (buf, dropped, closed) = {
            let mut state = shared.state.lock();
            while state.buf.is_empty() && !state.closed {
                shared.wake.wait(&mut state);
            }
            (std::mem::take(&mut state.buf), std::mem::take(&mut state.dropped), state.closed)
        };
        // An error of writing the log can't be logged.
        let _ = out.write_all(&buf);
        if dropped > 0 {
            let _ = writeln!(out, "level=warn event=log_lines_dropped count={dropped}");
        }
        let _ = out.flush();
        if closed {
            return;
        }
        std::thread::sleep(FLUSH_INTERVAL);
    }
}

impl Write for NonBlockingWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let mut state = self.0.state.lock();
        if state.buf.len() + line.len() > BUFFER_BYTES {
            state.dropped += 1;
        } else {
            if state.buf.is_empty() {
                self.0.wake.notify_one();
            }
            state.buf.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for NonBlockingWriter {
    type Writer = NonBlockingWriter;

    fn make_writer(&'a self) -> NonBlockingWriter {
        self.clone()
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.shared.state.lock().closed = true;
        self.shared.wake.notify_one();
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}
