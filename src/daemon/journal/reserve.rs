//! The limits of the journal's disk space, and the reserve file.
//!
//! If the disk is full, the end of an attempt cannot be recorded, and the message would be sent again after a
//! restart. The reserve is a placeholder file that only occupies space. It is removed when such a record does
//! not fit on the disk, and created again when there is space. While it does not exist, no message is
//! accepted and no attempt is started.
use super::completed_ids::CompletedIdLimits;
use crate::daemon::ports::Storage;

const RESERVE_NAME: &str = "messages.reserve";

/// Maximum share of the disk space for pending messages and completed IDs. The old and the new file coexist
/// during a rewrite, so twice this share, plus the records appended in between, must fit.
const MAX_STATE_SHARE: f64 = 0.4;
/// The file is rewritten when it exceeds this share of the disk space.
const COMPACTION_SHARE: f64 = 0.3;
/// The file is rewritten only if it has grown by this share of the disk space since the last rewrite.
const COMPACTION_GROWTH_SHARE: f64 = 0.06;
/// Size of the reserve file as a share of the disk space.
const RESERVE_SHARE: f64 = 0.02;
/// Maximum share of the disk space for completed IDs; part of `MAX_STATE_SHARE`.
const MAX_COMPLETED_IDS_SHARE: f64 = 0.05;
/// Maximum number of completed IDs.
const MAX_COMPLETED_IDS: usize = 8192;
/// No message is accepted while the file exceeds this share of the disk space, which leaves room for a
/// rewrite.
const MAX_FILE_SHARE: f64 = 0.55;
/// No other files are written while the file and its rewritten form together exceed this share of the disk
/// space.
const MAX_SHARE_WITH_OTHER_FILES: f64 = 0.8;

/// The limits that follow from the journal's disk space, in bytes.
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

    /// Returns the length above which the file is rewritten for the first time.
    pub fn compaction_bytes(&self) -> u64 {
        self.share(COMPACTION_SHARE)
    }

    /// Returns the length above which a file that has `length` bytes after a rewrite is rewritten again.
    pub fn next_compaction_bytes(&self, length: u64) -> u64 {
        self.compaction_bytes().max(self.retry_compaction_bytes(length))
    }

    /// Returns the length above which a rewrite is tried again after it failed for a file of `length` bytes.
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

/// Tracks whether this process holds the reserve file.
#[derive(Default)]
pub(super) struct Reserve {
    is_held: bool,
}

impl Reserve {
    pub fn is_held(&self) -> bool {
        self.is_held
    }

    /// Creates the reserve file unless the reserve is held. If the disk has no space for the file, the
    /// reserve is not held.
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

    /// Removes the reserve file, and returns whether the reserve was held.
    ///
    /// # Errors
    /// The file cannot be removed. The reserve still counts as released.
    pub fn release(&mut self, folder: &dyn Storage) -> std::io::Result<bool> {
        if !std::mem::take(&mut self.is_held) {
            return Ok(false);
        }
        folder.remove(RESERVE_NAME)?;
        Ok(true)
    }
}
