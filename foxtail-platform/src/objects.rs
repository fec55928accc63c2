//! The port to the object store.

use async_trait::async_trait;
use foxtail_types::prelude::*;

/// The object store: whole values under names that are written once.
#[async_trait]
pub trait Objects: Send + Sync {
    /// Stores `value` under `name`.
    ///
    /// # Errors
    ///
    /// [`Error`]; the value may be stored all the same, so that putting it again is harmless.
    async fn put(&self, name: &str, value: Vec<u8>, timeout: Millis) -> Result<(), Error>;

    /// The value under `name`, or `None`.
    ///
    /// # Errors
    ///
    /// [`Error`] if the store did not answer.
    async fn get(&self, name: &str, timeout: Millis) -> Result<Option<Vec<u8>>, Error>;
}

/// Why the store could not be used.
#[value]
#[derive(thiserror::Error)]
pub enum Error {
    /// The store answered that it can't now, or not in a known form.
    #[error("the object store is unavailable: {0}")]
    Unavailable(String),
    /// No answer in time.
    #[error("the object store did not answer in time")]
    TimedOut,
}
