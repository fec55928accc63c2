//! The bounded queue of one pool: by class, then by deadline.

use std::collections::BTreeMap;

use foxtail_types::prelude::*;

use crate::msg::AskId;

/// One in so many grants goes to waiting archive requests first, so that they always arrive.
const ARCHIVE_TURN: u64 = 16;

/// A question that waits for a slot.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Whose question it is.
    pub id: AskId,
    /// The request, for logs.
    pub request: RequestId,
    /// The class.
    pub class: Class,
    /// The zone of the host that asks.
    pub zone: ZoneId,
    /// How long the ticket may be used, from the sending of the question.
    pub(crate) life: Millis,
    /// When a ticket is of no use any more.
    pub deadline: Millis,
    /// Upstreams not to be given.
    pub avoid: Vec<UpstreamId>,
}

/// The place of a waiter within its class.
pub(super) type Place = (Millis, u64);

/// The waiters of one pool.
#[derive(Debug, Default)]
pub(super) struct Queue {
    interactive: BTreeMap<Place, Waiter>,
    archive: BTreeMap<Place, Waiter>,
    seq: u64,
}

impl Queue {
    /// How many wait.
    pub(super) fn len(&self) -> usize {
        self.interactive.len() + self.archive.len()
    }

    /// Whether nobody waits.
    pub(super) fn is_empty(&self) -> bool {
        self.interactive.is_empty() && self.archive.is_empty()
    }

    /// How many would be served before a new waiter.
    pub(super) fn ahead(&self, class: Class, deadline: Millis) -> usize {
        let end = (deadline, u64::MAX);
        match class {
            Class::Interactive => self.interactive.range(..end).count(),
            Class::Archive => self.interactive.len() + self.archive.range(..end).count(),
        }
    }

    /// Adds a waiter.
    pub(super) fn push(&mut self, waiter: Waiter) {
        self.seq += 1;
        let place = (waiter.deadline, self.seq);
        self.class_mut(waiter.class).insert(place, waiter);
    }

    /// The waiters in the order in which they are to be served, at the pool's `turn`.
    pub(super) fn in_order(&self, turn: u64) -> impl Iterator<Item = (Place, &Waiter)> {
        let (first, second) = match turn.is_multiple_of(ARCHIVE_TURN) {
            true => (&self.archive, &self.interactive),
            false => (&self.interactive, &self.archive),
        };
        first.iter().chain(second).map(|(place, waiter)| (*place, waiter))
    }

    /// Takes the waiter at `place`.
    pub(super) fn take(&mut self, class: Class, place: Place) -> Option<Waiter> {
        self.class_mut(class).remove(&place)
    }

    /// Takes the waiter that asked `id`.
    pub(super) fn withdraw(&mut self, id: &AskId) -> Option<Waiter> {
        for class in [Class::Interactive, Class::Archive] {
            let queue = self.class_mut(class);
            let place = queue.iter().find(|(_, waiter)| waiter.id == *id).map(|(place, _)| *place);
            if let Some(place) = place {
                return queue.remove(&place);
            }
        }
        None
    }

    /// Takes the next waiter whose deadline is before `time`.
    pub(super) fn pop_before(&mut self, time: Millis) -> Option<Waiter> {
        for class in [Class::Interactive, Class::Archive] {
            let queue = self.class_mut(class);
            if queue.first_key_value().is_some_and(|((deadline, _), _)| *deadline < time) {
                return queue.pop_first().map(|(_, waiter)| waiter);
            }
        }
        None
    }

    /// The question of the archive waiter that would be served last.
    pub(super) fn last_archive(&self) -> Option<AskId> {
        self.archive.last_key_value().map(|(_, waiter)| waiter.id.clone())
    }

    /// Takes all waiters.
    pub(super) fn drain(&mut self) -> Vec<Waiter> {
        let interactive = std::mem::take(&mut self.interactive);
        let archive = std::mem::take(&mut self.archive);
        interactive.into_values().chain(archive.into_values()).collect()
    }

    fn class_mut(&mut self, class: Class) -> &mut BTreeMap<Place, Waiter> {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Archive => &mut self.archive,
        }
    }
}
