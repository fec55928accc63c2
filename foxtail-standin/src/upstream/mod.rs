//! A server that runs requests in a few slots: queues, sheds, drains, starts cold and crashes.
//!
//! A request's query steers it: `bytes=N` sets the size of the answer, `work=N` the service time in
//! milliseconds, `truncate` breaks the answer off half-way and `poison` crashes the server. The
//! answer depends on nothing but the request, so that a caller can check it with [`answer`].

pub mod answer;
mod audit;
mod handle;
mod options;
mod order;
mod server;
mod state;

pub use audit::{Audit, Run};
pub use options::{Cold, Options, Report, ServiceTime};
pub use server::Server;
pub use state::Stats;
