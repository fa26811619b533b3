//! Capacity: how the journal divides the disk that it was given, and the reserve file.
//!
//! On a full disk the record of an attempt's end could not be written, and the message would be sent again after a restart.
//! The reserve is a file that only takes up space. It is removed when such a record finds the disk full, and created
//! again when there is space; without it, nothing new is accepted or started.
use super::completed_ids::CompletedIdLimits;
use crate::daemon::ports::Storage;

const RESERVE_NAME: &str = "messages.reserve";

/// Pending messages and completed ids may take this share of the disk. While the journal is rewritten the old and the new
/// file exist side by side: twice this share, and what is appended in between, stay under the limit.
const MAX_STATE_SHARE: f64 = 0.4;
/// The journal is rewritten when its file exceeds this share ...
const COMPACTION_SHARE: f64 = 0.3;
/// ... and, if the rewritten file is nearly as long, when it has grown by this share since.
const COMPACTION_GROWTH_SHARE: f64 = 0.06;
/// Share of the reserve file.
const RESERVE_SHARE: f64 = 0.02;
/// Completed ids may take this share, which is a part of `MAX_STATE_SHARE` ...
const MAX_COMPLETED_IDS_SHARE: f64 = 0.05;
/// ... and are bounded in number.
const MAX_COMPLETED_IDS: usize = 8192;
/// A file that exceeds this share could not be rewritten: no message is accepted.
const MAX_FILE_SHARE: f64 = 0.55;
/// If the file and its rewritten form together exceed this share, the folder has no space for anything but the journal.
const MAX_SHARE_WITH_OTHER_FILES: f64 = 0.8;

/// The limits that follow from the size of the disk, all in bytes.
pub(super) struct CapacityLimits {
    disk_bytes: u64,
}

impl CapacityLimits {
    pub fn new(disk_bytes: u64) -> Self {
        Self { disk_bytes }
    }

    fn share(&self, share: f64) -> u64 {
        (self.disk_bytes as f64 * share) as u64
    }

    pub fn max_state_bytes(&self) -> u64 {
        self.share(MAX_STATE_SHARE)
    }

    pub fn max_file_bytes(&self) -> u64 {
        self.share(MAX_FILE_SHARE)
    }

    pub fn max_bytes_with_other_files(&self) -> u64 {
        self.share(MAX_SHARE_WITH_OTHER_FILES)
    }

    /// The length at which a journal is rewritten first.
    pub fn compaction_bytes(&self) -> u64 {
        self.share(COMPACTION_SHARE)
    }

    /// The length at which a file is rewritten that now, just rewritten, has `length` bytes.
    pub fn next_compaction_bytes(&self, length: u64) -> u64 {
        self.compaction_bytes().max(self.retry_compaction_bytes(length))
    }

    /// The length at which rewriting is tried again after it failed for a file of `length` bytes.
    pub fn retry_compaction_bytes(&self, length: u64) -> u64 {
        length + self.share(COMPACTION_GROWTH_SHARE)
    }

    pub fn completed_ids(&self) -> CompletedIdLimits {
        CompletedIdLimits { max_ids: MAX_COMPLETED_IDS, max_bytes: self.share(MAX_COMPLETED_IDS_SHARE) }
    }

    fn reserve_bytes(&self) -> usize {
        self.share(RESERVE_SHARE) as usize
    }
}

/// Whether the reserve file exists.
#[derive(Default)]
pub(super) struct Reserve {
    is_held: bool,
}

impl Reserve {
    pub fn is_held(&self) -> bool {
        self.is_held
    }

    /// Creates the reserve file unless it exists. A disk without space for the file is no error: the reserve is then not held.
    pub fn acquire(&mut self, folder: &dyn Storage, limits: &CapacityLimits) {
        if self.is_held {
            return;
        }
        let zeros = vec![0; limits.reserve_bytes()];
        let created = folder.create(RESERVE_NAME).and_then(|mut file| file.append(&zeros));
        self.is_held = created.is_ok();
        if !self.is_held {
            let _ = folder.remove(RESERVE_NAME);
        }
    }

    /// Removes the reserve file, and says whether there was one.
    ///
    /// # Errors
    /// The file cannot be removed; the reserve counts as released all the same.
    pub fn release(&mut self, folder: &dyn Storage) -> std::io::Result<bool> {
        if !std::mem::take(&mut self.is_held) {
            return Ok(false);
        }
        folder.remove(RESERVE_NAME)?;
        Ok(true)
    }
}
