//! Which notices go next, and together; no I/O, no clock.
//!
//! Those that the platform says it cannot read hold up no others: a call that is turned away is divided, until the one that
//! it is about stands alone. That one is owed as before, and goes again by itself, ever less often.
use super::Notice;
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
    notice: Notice,
    pause: Duration,
    again: Instant,
}

/// What goes in one call.
#[derive(Default)]
pub struct Batch {
    pub notices: Vec<Notice>,
    /// The pause before it, where it had been turned away alone.
    pause: Option<Duration>,
}

/// The notices in hand.
#[derive(Default)]
pub struct Owed {
    /// Parts of a call that was turned away, or what goes again as it was.
    batches: VecDeque<Batch>,
    /// Soonest last.
    refused: Vec<Refused>,
}

impl Owed {
    /// How many more may be taken in for the next call.
    pub fn room(&self) -> usize {
        if self.batches.is_empty() { MOST_LINES } else { 0 }
    }

    /// Takes in what is new; no more than there is room for.
    pub fn add(&mut self, notices: Vec<Notice>) {
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
mod tests {
    use super::*;
    use crate::daemon::store::End;

    fn notices(numbers: std::ops::Range<u32>) -> Vec<Notice> {
        let notice = |number: u32| Notice { number, id: format!("m{number}"), end: End::Failed };
        numbers.map(notice).collect()
    }

    /// Guards against notices that go again for ever behind one that the platform cannot read, one that is told as ended
    /// without its word, and calls without a pause about it.
    #[test]
    fn what_is_turned_away_holds_up_no_others() {
        let now = Instant::now();
        for bad in [vec![], vec![0], vec![17], vec![3, 4, 99]] {
            let mut owed = Owed::default();
            owed.add(notices(0..100));
            let (mut told, mut named, mut calls) = (Vec::new(), Vec::new(), 0);
            while let Some(batch) = owed.next(now) {
                calls += 1;
                if batch.notices.iter().any(|notice| bad.contains(&notice.number)) {
                    named.extend(owed.turned_away(batch, now));
                } else {
                    told.extend(batch.notices.iter().map(|notice| notice.number));
                }
            }
            let good: Vec<u32> = (0..100).filter(|n| !bad.contains(n)).collect();
            assert_eq!(told, good, "in the order in which they came");
            assert_eq!(named, bad.iter().map(|n| format!("m{n}")).collect::<Vec<_>>());
            assert!(calls <= 1 + 16 * bad.len(), "{calls} calls for {bad:?}");
            assert_eq!(owed.room(), MOST_LINES, "what is new goes on");
            // What is owed still goes by itself, after ever longer pauses, and is named no more.
            let (mut at, mut pauses) = (now, Vec::new());
            while !bad.is_empty() && at < now + Duration::from_secs(60) {
                let due = owed.due().expect("it is still owed");
                pauses.push(due - at);
                at = due;
                let batch = owed.next(at).expect("it is due");
                assert_eq!(batch.notices.len(), 1);
                assert_eq!(owed.turned_away(batch, at), None);
            }
            assert!(pauses.len() <= 14 * bad.len(), "{pauses:?}");
        }
    }

    /// Guards against a notice that is forgotten, or overtaken, where a call got no answer.
    #[test]
    fn what_got_no_answer_goes_again_as_it_was() {
        let mut owed = Owed::default();
        owed.add(notices(0..3));
        let batch = owed.next(Instant::now()).unwrap();
        owed.again(batch);
        assert_eq!(owed.room(), 0, "nothing comes between");
        let again = owed.next(Instant::now()).unwrap();
        assert_eq!(again.notices.iter().map(|notice| notice.number).collect::<Vec<_>>(), [0, 1, 2]);
        assert!(owed.next(Instant::now()).is_none() && owed.due().is_none());
    }
}
