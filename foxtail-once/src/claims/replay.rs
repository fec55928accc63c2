//! Stores answers and loads them for replay.

use foxtail_types::prelude::*;
use foxtail_types::reason::Reason;

use super::Inner;
use crate::record::{BodyLocation, StoredAnswer};
use crate::{Answer, Attempt, BeginOutcome};

/// Timeout for storing one answer body in the object store.
const OBJECT_PUT_TIMEOUT: Millis = Millis(5_000);

/// Time after which a caller asks again for an answer whose body could not be read.
const FETCH_RETRY_AFTER: Millis = Millis(1_000);

impl Inner {
    /// Stores the body of `answer` in the row, in the object store or nowhere, depending on its
    /// size.
    pub(super) async fn store_answer(&self, attempt: &Attempt, answer: Answer) -> StoredAnswer {
        let body = match answer.body {
            Some(body) if body.len() <= self.options.max_row_body_bytes => BodyLocation::Row(body),
            Some(body) if body.len() <= self.options.max_object_body_bytes => {
                self.store_body(attempt, body).await
            }
            _ => BodyLocation::Dropped,
        };
        let Answer { status, headers, digest, size, .. } = answer;
        StoredAnswer { status, headers, digest, size, body }
    }

    async fn store_body(&self, attempt: &Attempt, body: Vec<u8>) -> BodyLocation {
        let name = format!("once-{}-{}-{:016x}", attempt.key, attempt.workspace, attempt.token);
        match self.ports.objects.put(&name, body, OBJECT_PUT_TIMEOUT).await {
            Ok(()) => BodyLocation::Object(name),
            Err(e) => {
                tracing::warn!(event = "once_answer_dropped", key = %attempt.key, error = %e);
                BodyLocation::Dropped
            }
        }
    }

    /// Loads the stored answer. Returns an unknown outcome if its body can't be read.
    pub(super) async fn replay(&self, stored: &StoredAnswer, timeout: Millis) -> BeginOutcome {
        let body = match &stored.body {
            BodyLocation::Row(body) => Some(body.clone()),
            BodyLocation::Dropped => None,
            BodyLocation::Object(name) => match self.read_object(name, timeout).await {
                Ok(body) => body,
                Err(_) => {
                    return BeginOutcome::Unknown(Reason::StoreUnavailable, FETCH_RETRY_AFTER);
                }
            },
        };
        BeginOutcome::Replay(Answer {
            status: stored.status,
            headers: stored.headers.clone(),
            body,
            digest: stored.digest,
            size: stored.size,
        })
    }
}
