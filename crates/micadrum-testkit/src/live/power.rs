//! The part of a process's state folder that survives a power loss, derived from the process's trace of its
//! syncs.
use crate::plan::SeededRng;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// The number of synced bytes of each file, by its current name.
#[derive(Default)]
pub struct DurableState {
    files: BTreeMap<String, u64>,
}

impl DurableState {
    /// Applies a trace record of the process: `begun NAME`, `synced NAME BYTES` or `renamed FROM TO`.
    pub fn apply(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["begun", name] => drop(self.files.insert(name.to_owned(), 0)),
            ["synced", name, bytes] => {
                let bytes = bytes.parse().unwrap_or(0);
                let synced = self.files.entry(name.to_owned()).or_default();
                *synced = bytes.max(*synced);
            }
            ["renamed", from, to] => {
                let synced = self.files.remove(from).unwrap_or(0);
                self.files.insert(to.to_owned(), synced);
            }
            _ => {}
        }
    }

    /// Truncates each file of a folder to its synced bytes plus none, all or a random part of the unsynced
    /// rest.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be read or a file cannot be truncated.
    pub fn truncate_files(&mut self, folder: &Path, random: &mut SeededRng) -> io::Result<()> {
        let mut entries: Vec<_> = std::fs::read_dir(folder)?.collect::<io::Result<_>>()?;
        entries.sort_by_key(std::fs::DirEntry::file_name);
        for entry in entries {
            if !entry.file_type()?.is_file() {
                continue;
            }
            let name = entry.file_name().to_string_lossy().into_owned();
            let length = entry.metadata()?.len();
            let synced = self.files.get(&name).copied().unwrap_or(0).min(length);
            let unsynced = length - synced;
            let kept = match random.below(3) {
                0 => 0,
                1 => unsynced,
                _ => random.below(unsynced as usize + 1) as u64,
            };
            std::fs::OpenOptions::new().write(true).open(entry.path())?.set_len(synced + kept)?;
            self.files.insert(name, synced + kept);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
