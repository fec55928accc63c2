//! Keeping answers and giving them again.

use foxtail_types::outcome::Reason;
use foxtail_types::prelude::*;

use super::Inner;
use crate::record::{Kept, Place};
use crate::{Answer, Attempt, Begin};

/// How long storing one answer may take.
const PUT_TIMEOUT: Millis = Millis(5_000);

/// When to ask again for an answer that could not be fetched.
const FETCH_RETRY: Millis = Millis(1_000);

impl Inner {
    /// Stores the body of `answer` where its size allows.
    pub(super) async fn keep(&self, attempt: &Attempt, answer: Answer) -> Kept {
        let body = match answer.body {
            Some(body) if body.len() <= self.options.row_body_max => Place::Row(body),
            Some(body) if body.len() <= self.options.object_body_max => {
                self.keep_object(attempt, body).await
            }
            _ => Place::Dropped,
        };
        let Answer { status, headers, digest, size, .. } = answer;
        Kept { status, headers, digest, size, body }
    }

    async fn keep_object(&self, attempt: &Attempt, body: Vec<u8>) -> Place {
        let name = format!("once-{}-{}-{:016x}", attempt.key, attempt.workspace, attempt.token);
        match self.ports.objects.put(&name, body, PUT_TIMEOUT).await {
            Ok(()) => Place::Object(name),
            Err(e) => {
                tracing::warn!(event = "once_answer_dropped", key = %attempt.key, error = %e);
                Place::Dropped
            }
        }
    }

    /// The answer that was kept.
    pub(super) async fn replay(&self, kept: &Kept, timeout: Millis) -> Begin {
        let body = match &kept.body {
            Place::Row(body) => Some(body.clone()),
            Place::Dropped => None,
            Place::Object(name) => match self.read_object(name, timeout).await {
                Ok(body) => body,
                Err(_) => return Begin::Unknown(Reason::StoreUnavailable, FETCH_RETRY),
            },
        };
        Begin::Replay(Answer {
            status: kept.status,
            headers: kept.headers.clone(),
            body,
            digest: kept.digest,
            size: kept.size,
        })
    }
}
