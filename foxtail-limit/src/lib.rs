//! Limits: owners, tickets, link bytes, shift budgets and admission.

mod limiter;

pub use limiter::{Acquire, Limiter, Load, Refusal, Seen, Ticket, Verdict};
