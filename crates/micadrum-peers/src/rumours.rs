//! What a sender passes on of third parties. A rumour decides nothing: it points at whom to ask.
use crate::member::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// So many stand in one datagram at the most.
pub(crate) const MOST_IN_ONE: usize = 24;

/// What is said of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Word {
    /// It does not answer.
    Silent,
    /// It answers again, or under a new life.
    Back,
}

/// One rumour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Rumour {
    pub about: MemberId,
    pub life: u64,
    pub word: Word,
}

/// Those that are being passed on: one for each member at the most.
#[derive(Default)]
pub(crate) struct Rumours {
    /// By member, with how many more times it is told.
    held: BTreeMap<MemberId, (Rumour, u32)>,
}

impl Rumours {
    /// Passes one on, `times` over; it takes the place of what was said of that member before.
    pub fn add(&mut self, rumour: Rumour, times: u32) {
        self.held.insert(rumour.about, (rumour, times));
    }

    /// Those for the next datagram: told least often so far goes first.
    pub fn next(&mut self, most: usize) -> Vec<Rumour> {
        let mut order: Vec<(u32, MemberId)> = self.held.iter().map(|(id, (_, left))| (*left, *id)).collect();
        order.sort_by_key(|(left, id)| (std::cmp::Reverse(*left), *id));
        order.truncate(most);
        let mut told = Vec::with_capacity(order.len());
        for (_, id) in order {
            if let Some((rumour, left)) = self.held.get_mut(&id) {
                told.push(*rumour);
                *left -= 1;
                if *left == 0 {
                    self.held.remove(&id);
                }
            }
        }
        told
    }

    /// Forgets what is said of a member.
    pub fn forget(&mut self, of: MemberId) {
        self.held.remove(&of);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against rumours that are told for ever, or of which the newest waits behind old ones.
    #[test]
    fn each_is_told_so_often_and_the_newest_first() {
        let mut rumours = Rumours::default();
        let rumour = |n: u8| Rumour { about: MemberId([n; 8]), life: 1, word: Word::Silent };
        (0..10).for_each(|n| rumours.add(rumour(n), 3));
        assert_eq!(rumours.next(10).len(), 10);
        rumours.add(rumour(20), 3);
        assert_eq!(rumours.next(1), [rumour(20)]);
        let mut told = 11;
        for _ in 0..10 {
            told += rumours.next(10).len();
        }
        assert_eq!(told, 33);
        assert!(rumours.next(10).is_empty());
    }
}
