//! What outlasts the process beside the journal: what it starts from, and what it writes down as it goes.
use super::EventLoop;
use super::endpoints::KnownEndpoint;
use crate::daemon::checkpoint::restore::{RestoredCheckpoint, restore};
use crate::daemon::checkpoint::schedule::Next;
use crate::daemon::checkpoint::{Checkpoint, DiscoveryVersion, EndpointCheckpoint};
use crate::daemon::config::Config;
use crate::daemon::endpoint_list::EndpointList;
use crate::{EndpointId, RouteSnapshot, Timestamp};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::RngCore;
use std::io;
use tokio::time::Instant;

impl EventLoop {
    /// Goes by the configuration's list and what an earlier process left. With `chance` that was a restart: what was
    /// learned has aged, and others start too; without, it is this very moment's.
    pub(super) fn start_from(&mut self, memory: Checkpoint, config: &Config, mut chance: Option<ChaCha8Rng>) {
        let known = EndpointList { agent: Some(config.discovery), ..config.known.clone() };
        let now = self.now();
        self.counts_anew = memory.version.is_none() && !memory.endpoints.is_empty();
        let RestoredCheckpoint { members, from, learned, held_out } =
            restore(memory, &known, chance.is_none(), now);
        if held_out > 0 {
            self.log(&format!("{held_out} endpoints stay out: they were heard to drain or to be gone"));
        }
        let (members, heard): (Vec<_>, Vec<_>) = members.into_iter().unzip();
        let names: Vec<String> = members.iter().map(|member| member.id.clone()).collect();
        self.targets(EndpointList { agent: None, revision: known.revision, complete: true, members });
        for (name, heard) in names.iter().zip(heard) {
            if let Some(at) = self.endpoint_ids.get(name).and_then(|id| self.endpoints.get_mut(id)) {
                at.heard = heard;
            }
        }
        self.version = from.map(|revision| DiscoveryVersion { agent: config.discovery, revision });
        self.step();
        for (name, lines, written) in learned {
            let Some(id) = self.endpoint_ids.get(&name) else { continue };
            let mut worth = |line: RouteSnapshot| match &mut chance {
                Some(random) => {
                    let chance = f64::from(random.next_u32()) / f64::from(u32::MAX);
                    if self.returning.trusts_clock() {
                        line.recalled(written, now, chance, &self.settings)
                    } else {
                        line.recalled_unclocked(written, now, chance, &self.settings)
                    }
                }
                None => line,
            };
            let lines = lines.map(|line| line.map(&mut worth));
            self.sender.take_up(*id, lines);
        }
    }

    /// From where on the agent is asked at the start; none for the whole list.
    pub fn asks_from(&self) -> Option<u64> {
        self.version.map(|version| version.revision)
    }

    /// The list has led to that version, with news of these endpoints: written down before anything follows from it.
    pub(super) fn heard(&mut self, version: DiscoveryVersion, news: Vec<EndpointId>) {
        if self.version == Some(version) && news.is_empty() {
            return;
        }
        let before = self.version.replace(version);
        if before.is_some_and(|before| version.anew_since(before)) {
            // What stands in the file tells of a version that would be taken for a newer one.
            self.counts_anew = true;
            return self.begin_memory();
        }
        self.counts_anew &= before.is_none_or(|before| before.agent == version.agent);
        if self.notebook.is_open() {
            self.keep(|host| host.write_down(news, true));
        }
    }

    /// Writes all of it down in a file of its own, before anybody is served: news goes to a file that has all else.
    pub(super) fn begin_memory(&mut self) {
        self.keep(|host| {
            let ids = host.begin_file()?;
            host.write_down(ids, false)?;
            host.finish_file()
        });
    }

    /// When the next slice is due, if there is one: only with all that has happened learned from.
    pub(super) fn memory_due(&self) -> Option<Timestamp> {
        self.slices.due().filter(|_| self.pending.is_empty())
    }

    /// A slice of what has changed, if it is time for one.
    pub(super) fn remember(&mut self, at: Instant) {
        let now = self.clock.at(at);
        if self.memory_due().is_none() {
            return;
        }
        let Some(next) = self.slices.next(now) else { return };
        self.keep(|host| match next {
            Next::Begin => host.begin_file().map(drop),
            Next::Write(ids) => host.write_down(ids, false),
            Next::Finish => host.finish_file(),
        });
    }

    /// All of it, for a next process on this machine.
    pub(super) fn memory(&self) -> Checkpoint {
        let now = self.now();
        let endpoints = self.endpoints.keys().filter_map(|id| self.known(*id, now));
        let endpoints = endpoints.map(|known| (known.member.id.clone(), known)).collect();
        Checkpoint { version: self.comparable(), whole: true, endpoints }
    }

    fn known(&self, id: EndpointId, now: Timestamp) -> Option<EndpointCheckpoint> {
        let at = self.endpoints.get(&id)?;
        let learned = self.sender.learned(id);
        Some(EndpointCheckpoint { member: at.member.clone(), heard: at.heard, learned, written: now })
    }

    /// A new file, and what goes into it: first what binds.
    fn begin_file(&mut self) -> io::Result<Vec<EndpointId>> {
        let bytes = self.notebook.begin()?;
        let now = self.now();
        let binds = |(id, at): &(&EndpointId, &KnownEndpoint)| !at.serving || self.sender.binds(now, **id);
        let (first, rest): (Vec<_>, Vec<_>) = self.endpoints.iter().partition(binds);
        let ids: Vec<EndpointId> = first.into_iter().chain(rest).map(|(id, _)| *id).collect();
        self.slices.begun(bytes, ids.clone());
        Ok(ids)
    }

    fn finish_file(&mut self) -> io::Result<()> {
        let whole = self.slices.finished();
        self.notebook.finish(self.comparable(), whole)
    }

    /// The version that others may compare theirs with.
    fn comparable(&self) -> Option<DiscoveryVersion> {
        self.version.filter(|_| !self.counts_anew)
    }

    fn write_down(&mut self, ids: Vec<EndpointId>, news: bool) -> io::Result<()> {
        let now = self.now();
        let version = self.comparable().filter(|_| news);
        let known: Vec<EndpointCheckpoint> = ids.into_iter().filter_map(|id| self.known(id, now)).collect();
        let slices = &mut self.slices;
        let bytes = self.notebook.write(known.into_iter(), news, version, |bytes| slices.fits(bytes))?;
        slices.wrote(bytes);
        Ok(())
    }

    /// Writes something down, if the journal leaves room. Where it does not, or the disk, all of the room is the journal's:
    /// nothing of it is owed to anybody.
    fn keep(&mut self, write: impl FnOnce(&mut Self) -> io::Result<()>) {
        let done = match self.store.has_capacity() {
            true => write(self),
            false => Err(io::ErrorKind::StorageFull.into()),
        };
        let Err(e) = done else { return };
        self.notebook.give_up();
        self.slices.given_up(self.now());
        self.log(&format!("memory: given up for now: {e}"));
    }
}
