//! What of a real process's folder outlasts its machine, by its own word, and a folder that is cut back to that.
use crate::plan::SeededRng;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// Synced bytes of each file, by the name that it has now.
#[derive(Default)]
pub struct Lasts {
    files: BTreeMap<String, u64>,
}

impl Lasts {
    /// Takes in what a process says of a file: `begun NAME`, `synced NAME BYTES`, `renamed FROM TO`.
    pub fn told(&mut self, line: &str) {
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

    /// Cuts each file of a folder back to what was synced, and nothing, all or a part of the rest.
    pub fn cut_back(&mut self, folder: &Path, dice: &mut SeededRng) -> io::Result<()> {
        let mut entries: Vec<_> = std::fs::read_dir(folder)?.collect::<io::Result<_>>()?;
        entries.sort_by_key(std::fs::DirEntry::file_name);
        for entry in entries {
            if !entry.file_type()?.is_file() {
                continue;
            }
            let name = entry.file_name().to_string_lossy().into_owned();
            let length = entry.metadata()?.len();
            let synced = self.files.get(&name).copied().unwrap_or(0).min(length);
            let rest = length - synced;
            let kept = match dice.below(3) {
                0 => 0,
                1 => rest,
                _ => dice.below(rest as usize + 1) as u64,
            };
            std::fs::OpenOptions::new().write(true).open(entry.path())?.set_len(synced + kept)?;
            self.files.insert(name, synced + kept);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
