//! The service towards operators: JSON-RPC over HTTP, with a credential on every call.

mod api;
mod auth;
mod errors;
mod handler;
mod server;

pub use api::{
    Asked, Decision, DrainStatus, Explained, HostLine, OperatorClient, OperatorServer, Status,
};
pub use auth::{Credential, Credentials, Operator};
pub use errors::error_of;
pub use handler::{Live, Service};
pub use server::{Options, serve};
