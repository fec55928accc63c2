//! The port to the object store.

use async_trait::async_trait;
use foxtail_types::prelude::*;

/// An object store: whole values under names that are written once.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Stores `value` under `name`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the store is unavailable or does not answer within `timeout`. The value
    /// may be stored all the same, so that repeating the call is harmless.
    async fn put(&self, name: &str, value: Vec<u8>, timeout: Millis) -> Result<(), Error>;

    /// Returns the value under `name`, or `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the store is unavailable or does not answer within `timeout`.
    async fn get(&self, name: &str, timeout: Millis) -> Result<Option<Vec<u8>>, Error>;
}

/// Why a call to the object store failed.
#[value]
#[derive(thiserror::Error)]
pub enum Error {
    /// The store answered that it is unavailable, or answered in an unknown form.
    #[error("the object store is unavailable: {0}")]
    Unavailable(String),
    /// The store did not answer within the timeout.
    #[error("the object store did not answer within the timeout")]
    TimedOut,
}
