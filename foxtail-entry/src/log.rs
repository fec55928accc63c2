//! Logs to standard output, one line of key=value pairs for each event.
//!
//! Lines go into a bounded buffer that a thread writes out, so that a reader that does not keep up
//! never holds up a request. What does not fit is dropped and counted.

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

/// The most bytes that wait to be written; with one write each [`FLUSH_EVERY`] it bounds the volume.
const BUFFER_BYTES: usize = 64 * 1024;

/// How long lines are gathered before they are written.
const FLUSH_EVERY: Duration = Duration::from_millis(100);

/// Keeps the log going; dropping it writes out what waits.
pub struct Guard {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

/// A bounded buffer that lines are written into.
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

/// Starts the process's log.
///
/// # Errors
///
/// If `filter` is malformed, or a log was started before.
pub fn start(filter: &str) -> anyhow::Result<Guard> {
    let filter = EnvFilter::try_new(filter).context("`--log`")?;
    let (writer, guard) = non_blocking(std::io::stdout());
    let layer = tracing_logfmt::builder().layer().with_writer(writer);
    Registry::default().with(filter).with(layer).try_init().context("no log")?;
    Ok(guard)
}

/// A bounded buffer whose lines a thread writes to `out`.
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
        // There is nowhere to tell that the log itself can't be written.
        let _ = out.write_all(&buf);
        if dropped > 0 {
            let _ = writeln!(out, "level=warn event=log_lines_dropped count={dropped}");
        }
        let _ = out.flush();
        if closed {
            return;
        }
        std::thread::sleep(FLUSH_EVERY);
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
            // A panic of the writer was printed by its own thread.
            let _ = thread.join();
        }
    }
}
