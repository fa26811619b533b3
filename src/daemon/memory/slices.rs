//! What of the memory is written down when: in slices, so that no step of the loop waits for all of it. Free of I/O and
//! clocks.
//!
//! The file grows by what changes, and is written anew beside itself when it has doubled. Nothing of it is owed to anybody:
//! where there is no room it is given up, and begun again later.
use crate::{EndpointId, Time};
use std::collections::BTreeSet;

/// Endpoints in a slice at the most: 0.13 ms and 14 KB, as measured with 10,000 endpoints.
const SLICE: usize = 64;
/// Between two slices, in microseconds.
const PAUSE: u64 = 100_000;
/// From when there was no room until the next try, in microseconds.
const RETRY: u64 = 5_000_000;
/// A file is written anew when it is this much longer than twice what it was when it was new, in bytes.
const SLACK: u64 = 8 * 1024;

/// What is to be done next.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    /// Begin a new file; [`Slices::begun`] says what goes into it.
    Begin,
    /// Write these down, in the new file if there is one.
    Write(Vec<EndpointId>),
    /// All is in the new file: put it in the old one's place.
    Finish,
}

/// The order of work.
pub struct Slices {
    /// Bytes that a file may hold.
    most: u64,
    /// What has changed since it was written.
    changed: BTreeSet<EndpointId>,
    /// What the new file still lacks, the next one last; none if there is no new file.
    lacking: Option<Vec<EndpointId>>,
    /// Of the file that is being filled, and of the last one when it was new.
    length: u64,
    new_length: u64,
    begin: bool,
    whole: bool,
    not_before: Time,
}

impl Slices {
    /// Nothing is written yet; a file may hold `most` bytes.
    pub fn new(most: u64) -> Self {
        Self {
            most,
            changed: BTreeSet::new(),
            lacking: None,
            length: 0,
            new_length: 0,
            begin: true,
            whole: true,
            not_before: Time(0),
        }
    }

    /// Something is to be written of this endpoint.
    pub fn changed(&mut self, id: EndpointId) {
        self.changed.insert(id);
    }

    /// From when on there is something to do, if there is.
    pub fn due(&self) -> Option<Time> {
        let work = self.begin || self.lacking.is_some() || !self.changed.is_empty();
        work.then_some(self.not_before)
    }

    /// What is to be done `now`.
    pub fn next(&mut self, now: Time) -> Option<Next> {
        if self.due().is_none_or(|due| now < due) {
            return None;
        }
        self.not_before = Time(now.0 + PAUSE);
        if std::mem::take(&mut self.begin) {
            return Some(Next::Begin);
        }
        let mut slice: Vec<EndpointId> = Vec::new();
        if let Some(lacking) = &mut self.lacking {
            slice.extend(lacking.split_off(lacking.len().saturating_sub(SLICE)).into_iter().rev());
        }
        while slice.len() < SLICE {
            let Some(id) = self.changed.pop_first() else { break };
            slice.push(id);
        }
        // Copied into the new file just now, it is not changed any more.
        for id in &slice {
            self.changed.remove(id);
        }
        match slice.is_empty() {
            true => Some(Next::Finish),
            false => Some(Next::Write(slice)),
        }
    }

    /// A new file of so many bytes was begun, for these endpoints, the first one first.
    pub fn begun(&mut self, bytes: u64, mut order: Vec<EndpointId>) {
        order.reverse();
        (self.lacking, self.length, self.whole, self.begin) = (Some(order), bytes, true, false);
    }

    /// Whether so many bytes more may be written; if not, the file tells less than all.
    pub fn fits(&mut self, bytes: u64) -> bool {
        let fits = self.length + bytes <= self.most;
        self.whole &= fits;
        fits
    }

    /// So many bytes were written.
    pub fn wrote(&mut self, bytes: u64) {
        self.length += bytes;
        let grown = self.length > 2 * self.new_length + SLACK || self.length + SLACK > self.most;
        // At its bound a file is written anew only after as much as a slice has been written.
        let worth_it = self.length > self.new_length + SLACK;
        self.begin |= self.lacking.is_none() && grown && worth_it;
    }

    /// The new file is in place: whether it holds all.
    pub fn finished(&mut self) -> bool {
        (self.lacking, self.new_length) = (None, self.length);
        self.whole
    }

    /// There was no room: all is given up until later.
    pub fn given_up(&mut self, now: Time) {
        let Self { most, .. } = *self;
        *self = Self { not_before: Time(now.0 + RETRY), ..Self::new(most) };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RECORD: u64 = 300;

    fn write(slices: &mut Slices, ids: &[EndpointId], written: &mut BTreeSet<EndpointId>) {
        for id in ids {
            if slices.fits(RECORD) {
                slices.wrote(RECORD);
                written.insert(*id);
            }
        }
    }

    /// Works until nothing is left to do; the longest slice, and what the last file that was begun holds.
    fn work(slices: &mut Slices, all: u32, now: &mut u64) -> (usize, BTreeSet<EndpointId>, bool) {
        let (mut longest, mut written, mut whole) = (0, BTreeSet::new(), false);
        while let Some(due) = slices.due() {
            *now = (*now).max(due.0);
            match slices.next(Time(*now)).expect("it was due") {
                Next::Begin => {
                    written.clear();
                    slices.begun(20, (0..all).map(EndpointId).collect());
                }
                Next::Write(ids) => {
                    longest = longest.max(ids.len());
                    write(slices, &ids, &mut written);
                }
                Next::Finish => whole = slices.finished(),
            }
        }
        (longest, written, whole)
    }

    /// Guards against a loop that is held up by all that is remembered, and against an endpoint that no slice has.
    #[test]
    fn all_is_written_in_slices() {
        for all in [0, 1, 63, 64, 65, 10_000] {
            let mut slices = Slices::new(1 << 30);
            let mut now = 0;
            let (longest, written, whole) = work(&mut slices, all, &mut now);
            assert!(longest <= SLICE && written.len() == all as usize && whole, "{all}: {longest}");
            assert_eq!(slices.due(), None, "nothing has changed");
            let before = now;
            slices.changed(EndpointId(3));
            assert!(slices.next(Time(before)).is_none(), "a pause after the last slice");
            let (longest, written, _) = work(&mut slices, all, &mut now);
            assert_eq!((longest, written.len(), now), (1, 1, before + PAUSE));
        }
    }

    /// Guards against a file that grows by what changes, or is written anew all the time.
    #[test]
    fn a_file_is_written_anew_when_it_has_doubled() {
        let (most, mut now) = (60_000, 0);
        let mut slices = Slices::new(most);
        work(&mut slices, 30, &mut now);
        let (mut begun, mut longest) = (0, 0);
        for n in 0..2_000 {
            slices.changed(EndpointId(n % 30));
            let before = slices.new_length;
            work(&mut slices, 30, &mut now);
            begun += usize::from(slices.length < longest && before > 0);
            longest = slices.length;
            assert!(slices.length <= most, "{}", slices.length);
        }
        assert!((5..100).contains(&begun), "{begun} times anew for 600 KB of changes");
    }

    /// Guards against a file past its bound, and against taking one for whole that is not.
    #[test]
    fn what_does_not_fit_is_left_out() {
        let mut slices = Slices::new(10 * RECORD);
        let (_, written, whole) = work(&mut slices, 100, &mut 0);
        assert_eq!((written.len(), whole), (9, false));
        assert!(written.contains(&EndpointId(0)), "the first ones are kept");
        slices.given_up(Time(7));
        assert_eq!(slices.due(), Some(Time(7 + RETRY)));
        assert_eq!(slices.next(Time(7 + RETRY)), Some(Next::Begin));
    }
}
