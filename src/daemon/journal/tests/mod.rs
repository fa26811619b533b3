//! Tests of the journal by topic, and their shared helpers.
mod capacity;
mod compaction;
mod completed_ids;
mod failing_folder;
mod record;
mod replay;

use super::{Attempt, CorruptionReport, Journal, PendingMessage, SubmittedMessage};
use crate::daemon::system::Folder;
use std::path::Path;
use std::rc::Rc;

const DISK_BYTES: u64 = 3_000_000;
/// The present time, in microseconds of engine time.
const NOW: u64 = 1_700_000_000_000_000;

fn message(id: &str, body: usize) -> PendingMessage {
    let message = SubmittedMessage {
        id: id.to_owned(),
        class: "charge".to_owned(),
        tenant: None,
        key: None,
        idempotency_key: None,
        destination: 7,
        body: vec![b'x'; body].into(),
    };
    PendingMessage::new(message, 1)
}

fn open(folder: &Path) -> (Journal, CorruptionReport) {
    Journal::open(Rc::new(Folder(folder.to_owned())), DISK_BYTES).unwrap()
}

fn attempt(started_at: u64) -> Attempt {
    Attempt { started_at, zone: "a".to_owned() }
}

fn ids(journal: &Journal) -> Vec<&str> {
    journal.pending().map(|(_, pending)| pending.message.id.as_str()).collect()
}
