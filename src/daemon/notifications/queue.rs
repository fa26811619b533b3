//! Which notices go next, and together; no I/O, no clock.
//!
//! Those that the platform says it cannot read hold up no others: a call that is turned away is divided, until the one that
//! it is about stands alone. That one is owed as before, and goes again by itself, ever less often.
use super::Notification;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// Notices in one call, which keeps its body under 64 KiB.
pub const MOST_LINES: usize = 256;
/// Pause after which a notice goes again that was turned away alone; doubled each time ...
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// ... up to this.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// One that was turned away alone.
struct Refused {
    notice: Notification,
    pause: Duration,
    again: Instant,
}

/// What goes in one call.
#[derive(Default)]
pub struct Batch {
    pub notices: Vec<Notification>,
    /// The pause before it, where it had been turned away alone.
    pause: Option<Duration>,
}

/// The notices in hand.
#[derive(Default)]
pub struct NotificationQueue {
    /// Parts of a call that was turned away, or what goes again as it was.
    batches: VecDeque<Batch>,
    /// Soonest last.
    refused: Vec<Refused>,
}

impl NotificationQueue {
    /// How many more may be taken in for the next call.
    pub fn room(&self) -> usize {
        if self.batches.is_empty() { MOST_LINES } else { 0 }
    }

    /// Takes in what is new; no more than there is room for.
    pub fn add(&mut self, notices: Vec<Notification>) {
        if !notices.is_empty() {
            self.batches.push_back(Batch { notices, pause: None });
        }
    }

    /// What goes now.
    pub fn next(&mut self, now: Instant) -> Option<Batch> {
        self.batches.pop_front().or_else(|| {
            self.refused.last().filter(|refused| refused.again <= now)?;
            let Refused { notice, pause, .. } = self.refused.pop()?;
            Some(Batch { notices: vec![notice], pause: Some(pause) })
        })
    }

    /// When something goes that does not go now.
    pub fn due(&self) -> Option<Instant> {
        self.refused.last().map(|refused| refused.again)
    }

    /// A call could not be made, or was not answered in a way that says anything of what it held: it goes again.
    pub fn again(&mut self, batch: Batch) {
        self.batches.push_front(batch);
    }

    /// A call was turned away for what it held. The id, where that is one notice alone, and it was alone for the first time.
    pub fn turned_away(&mut self, batch: Batch, now: Instant) -> Option<String> {
        let Batch { mut notices, pause } = batch;
        if notices.len() > 1 {
            let second = notices.split_off(notices.len() / 2);
            for notices in [second, notices] {
                self.batches.push_front(Batch { notices, pause: None });
            }
            return None;
        }
        let notice = notices.pop()?;
        let said = pause.is_none().then(|| notice.id.clone());
        let pause = pause.map_or(FIRST_PAUSE, |pause| (2 * pause).min(LONGEST_PAUSE));
        let again = now + pause;
        let place = self.refused.partition_point(|refused| refused.again > again);
        self.refused.insert(place, Refused { notice, pause, again });
        said
    }
}

#[cfg(test)]
mod tests;
