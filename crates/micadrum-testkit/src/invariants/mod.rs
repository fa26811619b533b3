//! The judge of the six rules: fed with what partners, platform and clients saw, never with what a sender
//! believes. It does no I/O and reads no clock; observations come in the order in which they were made.
//!
//! One file a rule, or a group of rules that go by the same books.
mod attempts;
mod completion;
mod concurrency;
mod drains;
mod membership_views;
mod overload;
mod processes;
mod waits;

use crate::observation::{At, Seen};
use crate::plan::Class;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// On sockets each limit of time is so much longer.
const TOLERANCE: At = 50_000;
/// A final answer is lost or late this long after a message's time is up.
const ANSWER_SLACK: At = 300_000;
/// Calls that come within this of hearing of a wait are let through.
const WAIT_SLACK: At = 100_000;
/// After a restart no notice is overdue until so long after the sender is ready again.
const AFTER_READY: At = 1_500_000;
/// A message that is over is watched for so long after its time is up.
const WATCHED: At = 60_000_000;
/// The end of a process is seen within this of what it does to connections.
const SEEN_TO_END: At = 1_000_000;
/// What a sender did to a connection before its process ended may be held back on a link for so long; a call of which
/// nothing is heard by then was out until the process ended.
const HELD_BACK: At = 60_000_000;
/// Breaks that are kept with their history; more are only counted.
const MOST_KEPT: usize = 200;

/// What can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Invariant {
    /// A message that was taken on got no end.
    Lost,
    /// It got it too late.
    Late,
    /// It was sent after its end, though refused, or though nobody handed it in.
    SentAfterEnd,
    /// It took effect twice, or was sent or returned where that might have happened.
    Doubled,
    /// Two calls with it were out at once.
    Beside,
    /// It had more attempts than are allowed.
    Attempts,
    /// A call went to an endpoint that the sender knew drains or is gone.
    Drain,
    /// A returning partner was pushed over.
    PushedOver,
    /// A later message of a key went out before an earlier one was over.
    Order,
    /// A call was made during a told wait.
    Wait,
    /// A sender ended without being told to.
    Crash,
    /// What senders believe of each other is wrong long after the last thing that happened to them.
    View,
    /// A sender that ran was held for dead with nothing wrong.
    Accused,
}

impl Invariant {
    /// All of them.
    pub const ALL: [Self; 13] = [
        Self::Lost,
        Self::Late,
        Self::SentAfterEnd,
        Self::Doubled,
        Self::Beside,
        Self::Attempts,
        Self::Drain,
        Self::PushedOver,
        Self::Order,
        Self::Wait,
        Self::Crash,
        Self::View,
        Self::Accused,
    ];
}

/// One broken rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// Which.
    pub rule: Invariant,
    /// When, in microseconds from the start of the day.
    pub at: At,
    /// The message, if it is about one.
    pub id: Option<String>,
    /// What happened.
    pub what: String,
    /// All that was seen of the message, in order.
    pub history: Vec<String>,
}

/// What the judge found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// How often each rule was broken; rules that were kept are not named.
    pub counts: BTreeMap<Invariant, usize>,
    /// The first breaks.
    pub breaks: Vec<Violation>,
    /// Partners that fell over, whoever's fault that was: a line each.
    pub fell: Vec<String>,
    /// Messages that were taken on.
    pub taken: usize,
    /// Those that a process left behind untried, and of these those that ended by a notice with no call ever made: more than
    /// half of them fail a day of the standing test.
    pub found_untried: usize,
    /// See `found_untried`.
    pub given_up_untried: usize,
}

impl Verdict {
    /// Whether no rule broke.
    pub fn clean(&self) -> bool {
        self.counts.is_empty()
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Hold {
    /// Handed in, and not answered yet.
    Open,
    TakenOn,
    /// Refused: the sender must not send it.
    Refused,
    /// Its client heard nothing or its machine is lost: it counts for nothing.
    Void,
}

struct Message {
    class: Class,
    sender: u32,
    vehicle: Option<u32>,
    deadline: At,
    hold: Hold,
    /// When its end was there: delivered, or a notice acknowledged.
    over: Option<At>,
    /// Its end was due and had not come.
    overdue: bool,
    noticed: Option<At>,
    attempts: u32,
    /// A process of its sender ended with it taken on, not over and not tried.
    found: bool,
    /// When the first attempt that may have run was sent.
    ran_sent: Option<At>,
    effects: u32,
    calls: Vec<u64>,
    history: Vec<(At, String)>,
}

struct Call {
    sender: u32,
    line: u32,
    sent: At,
    ids: Vec<String>,
    /// Calls that began while this one was out, as far as was seen: rule, message, and when they were sent.
    beside: Vec<(Invariant, String, At)>,
}

#[derive(Default)]
struct Sender {
    /// When its last restart began, while it is not ready again.
    ending: Option<At>,
    /// Until when nothing of its is overdue.
    excused: At,
    /// When its last process ended: what had been sent before, nobody hears the end of.
    exited: Option<At>,
    expected: bool,
}

#[derive(Default)]
struct Outage {
    on: bool,
    /// Senders that saw a call fail or be refused while it lasted.
    saw: BTreeSet<u32>,
}

/// A told wait: the call that told it, from when and until when it binds.
struct Wait {
    call: u64,
    from: At,
    until: At,
}

/// Goes through the observations of one run.
#[derive(Default)]
pub struct InvariantChecker {
    messages: BTreeMap<String, Message>,
    /// What is to be looked at again once it must be over, by when.
    due: BTreeSet<(At, String)>,
    calls: BTreeMap<u64, Call>,
    order: BTreeMap<(u32, u32), VecDeque<String>>,
    senders: BTreeMap<u32, Sender>,
    /// When a sender was told that an endpoint is not in service.
    unlisted: BTreeMap<(u32, String), At>,
    /// By sender and line.
    waits: BTreeMap<(u32, u32), Vec<Wait>>,
    outages: BTreeMap<u32, Outage>,
    /// Clients whose connection ended without an answer, and whose sender's process may be seen to have ended yet.
    cuts: VecDeque<(At, u32, String)>,
    /// Calls whose process has ended, and when it did.
    orphans: VecDeque<(At, u64)>,
    verdict: Verdict,
}

impl InvariantChecker {
    /// Takes in one observation.
    pub fn see(&mut self, at: At, seen: &Seen) {
        self.look_at_due(at);
        self.look_at_cuts(at);
        self.look_at_orphans(at);
        match seen {
            Seen::Ready { sender } => self.ready(at, *sender),
            Seen::Ending { sender, .. } => {
                let of = self.senders.entry(*sender).or_default();
                of.ending.get_or_insert(at);
                of.expected = true;
            }
            Seen::Exited { sender, asked } => self.exited(at, *sender, *asked),
            Seen::MachineLost { sender } => self.machine_lost(at, *sender),
            Seen::HandedIn { .. } => self.handed_in(at, seen),
            Seen::Answered { id, told } => self.answered(at, id, *told),
            Seen::Listed { sender, endpoint, serving } => self.listed(at, *sender, endpoint, *serving),
            Seen::Began { call, sender, endpoint, line, ids, sent } => {
                self.began(at, *call, *sender, endpoint, *line, ids, *sent);
            }
            Seen::Ran { id } => {
                if let Some(message) = self.messages.get_mut(id) {
                    message.effects += 1;
                    message.history.push((at, "took effect".to_owned()));
                    if message.effects > 1 && message.hold != Hold::Void {
                        self.convict(Invariant::Doubled, at, Some(id), "it took effect twice".to_owned());
                    }
                }
            }
            Seen::Replied { call, ends, wait, heard, out_until } => {
                self.replied(at, *call, ends, *wait, *heard);
                self.out_no_more(at, *call, *out_until);
            }
            // No call that the wait would bind can have come yet: it binds those sent after the answer is heard.
            Seen::Unheard { call } => self.unheard(*call),
            Seen::Closed { call, sent } => self.closed(at, *call, *sent),
            Seen::Noticed { id, returned } => self.noticed(at, id, *returned),
            Seen::Deaf { sender, until } | Seen::Paused { sender, until } => {
                let of = self.senders.entry(*sender).or_default();
                of.excused = of.excused.max(until + AFTER_READY);
            }
            Seen::Outage { line, began } => {
                let outage = self.outages.entry(*line).or_default();
                if *began && !outage.on {
                    outage.saw.clear();
                }
                outage.on = *began;
            }
            Seen::Fell { line, senders, budget, endpoint } => {
                self.fell(at, *line, senders, *budget, endpoint)
            }
        }
    }

    /// The verdict once the run is over: all that was taken on must have its end by now.
    pub fn verdict(mut self, at: At) -> Verdict {
        self.look_at_due(At::MAX);
        self.look_at_cuts(At::MAX);
        self.look_at_orphans(At::MAX);
        let open: Vec<u64> = self.calls.keys().copied().collect();
        for call in open {
            self.closed(at, call, at);
        }
        self.verdict
    }

    fn convict(&mut self, rule: Invariant, at: At, id: Option<&str>, what: String) {
        *self.verdict.counts.entry(rule).or_default() += 1;
        if self.verdict.breaks.len() < MOST_KEPT {
            let history = id.map_or(Vec::new(), |id| self.history(id));
            self.verdict.breaks.push(Violation { rule, at, id: id.map(str::to_owned), what, history });
        }
    }

    fn history(&self, id: &str) -> Vec<String> {
        let line = |(at, text): &(At, String)| format!("{} {text}", seconds(*at));
        self.messages.get(id).map_or(Vec::new(), |message| message.history.iter().map(line).collect())
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one observation")]
    fn began(&mut self, at: At, call: u64, sender: u32, endpoint: &str, line: u32, ids: &[String], sent: At) {
        let first = ids.first().map(String::as_str);
        self.called_unlisted(at, sender, endpoint, first, sent);
        self.called_in_a_wait(at, sender, line, first, sent);
        self.calls.insert(call, Call { sender, line, sent, ids: ids.to_vec(), beside: Vec::new() });
        for id in ids {
            self.sent(at, call, id, sender, endpoint, sent);
        }
    }
}

/// A time in seconds, to the millisecond.
pub fn seconds(at: At) -> String {
    format!("{}.{:03}", at / 1_000_000, at / 1_000 % 1_000)
}

pub use membership_views::look_at_views;

#[cfg(test)]
mod tests;
