//! How service returns after a restart: what is owed in which stage, what others warn of, what this one tells them.
use super::EventLoop;
use crate::daemon::endpoint_list::Phase;
use crate::daemon::events::ListenerState;
use crate::daemon::journal::{Attempt, FinalOutcome, PendingMessage};
use crate::{ClassId, Event, Idempotency, RecoveredMessage, TimeDelta, Timestamp};
use micadrum_recovery::message_recovery::{LeftoverMessage, MessageTimes, Redelivery, Verdict};
use micadrum_recovery::peer_report::EndpointReport;
use micadrum_recovery::phases::Input;
use micadrum_recovery::{EndpointRestrictions, JournalStamp};
use std::collections::BTreeMap;
use tokio::time::Instant;

impl EventLoop {
    pub(super) fn repeats(&self, class: ClassId) -> Redelivery {
        match self.settings.classes[class.0].idempotency {
            Idempotency::Idempotent => Redelivery::Harmless,
            Idempotency::WithKey { .. } => Redelivery::HarmlessWithinWindow,
            Idempotency::NonIdempotent => Redelivery::Harmful,
        }
    }

    /// What the journal has of a message, as far as that is to be believed; an end where it has to end at once.
    pub(super) fn believed(
        &mut self,
        number: u32,
        class: ClassId,
        owed: &mut PendingMessage,
    ) -> Option<FinalOutcome> {
        let repeats = self.repeats(class);
        let first = owed.ran.as_ref().or(owed.out.as_ref()).cloned();
        let first_attempt_at = first.as_ref().map(|first| first.at);
        let not_accepted_before = self.store.not_before(number);
        let is_completed = owed.end.is_some();
        let message = LeftoverMessage { is_completed, first_attempt_at, not_accepted_before };
        match self.returning.assess_message(repeats, message) {
            Verdict::Unchanged => {
                self.reset_deadline(number, class, owed);
                None
            }
            Verdict::Uncertain(at) => {
                let attempt = Attempt { at, zone: first.map(|first| first.zone).unwrap_or_default() };
                owed.attempts = owed.attempts.max(1);
                (owed.ran, owed.out) = (Some(attempt.clone()), None);
                // A next process on this run of the machine takes the journal for all there is.
                let booked = self.store.ran(number, attempt);
                self.booked(booked);
                self.reset_deadline(number, class, owed);
                None
            }
            Verdict::Return => Some(FinalOutcome::Returned(None)),
            // The journal of another sender is set aside before it is read here.
            Verdict::Fail | Verdict::Discard => Some(FinalOutcome::Failed),
        }
    }

    /// Writes down who goes on with the journal. Only once all that follows from how it was found stands in it: a process
    /// that ends before finds it the same way again.
    pub(super) fn stamp(&mut self, stamp: Option<JournalStamp>) {
        let Some(stamp) = stamp else { return };
        if !self.returning.trusts_clock() {
            self.store.new_clock(self.now().0);
            if let Err(e) = self.store.rewrite() {
                self.log(&format!("{e}; ids of messages that are over may be forgotten early"));
            }
        }
        let stamped = self.store.stamp(stamp);
        self.booked(stamped);
        // The stamp outlasts the machine whatever the rest does: a folder that power has emptied is told from a new one.
        if let Err(e) = self.store.enable_durability() {
            self.log(&format!("{e}; after a loss of power the folder may look like that of a first start"));
        }
    }

    /// Hands a message of before to the module, once such are sent; one whose time is up at once, as its end needs no call.
    pub(super) fn take_up(&mut self, resumed: RecoveredMessage) {
        if resumed.ended || resumed.message.time_to_live == TimeDelta(0) || self.sends_what_is_owed() {
            self.pending.push((self.now(), Event::Recovered(resumed)));
        } else {
            let deadline = self.now().0 + resumed.message.time_to_live.0;
            self.resting.insert((deadline, resumed.message.id.0), resumed);
        }
    }

    fn sends_what_is_owed(&self) -> bool {
        self.returning.sends_backlog() || self.winding_down.is_some()
    }

    /// When the next thing happens to the return without anything from outside: its stage's time, or that of a message that
    /// rests.
    pub(super) fn return_due(&self) -> Option<Instant> {
        let first =
            self.resting.first_key_value().map(|((deadline, _), _)| self.clock.instant(Timestamp(*deadline)));
        self.returning.due().into_iter().chain(first).min()
    }

    /// The stage may have changed, or a message that rests run out.
    pub(super) fn go_on_returning(&mut self) {
        if self.returning.is_full() && self.resting.is_empty() {
            return;
        }
        let moved = self.returning.handle(Input::Backlog(self.numbers.len()));
        self.wake_the_rested();
        if moved && self.returning.is_open() && self.winding_down.is_none() {
            self.doors.set(ListenerState::Accepting);
        }
    }

    /// Hands on what rests, if its stage has come, in the order in which it was taken on; and what has run out meanwhile.
    fn wake_the_rested(&mut self) {
        let now = self.now();
        let later = match self.sends_what_is_owed() {
            true => BTreeMap::new(),
            false => self.resting.split_off(&(now.0 + 1, 0)),
        };
        let woken = std::mem::replace(&mut self.resting, later);
        let mut woken: Vec<((u64, u32), RecoveredMessage)> = woken.into_iter().collect();
        woken.sort_by_key(|((_, number), _)| *number);
        for ((deadline, _), mut resumed) in woken {
            resumed.message.time_to_live = TimeDelta(deadline.saturating_sub(now.0));
            self.pending.push((now, Event::Recovered(resumed)));
        }
    }

    /// Puts a deadline of before on the clock of now, once and for all: a next process on this run of the machine believes its
    /// clock.
    fn reset_deadline(&mut self, number: u32, class: ClassId, owed: &mut PendingMessage) {
        if self.returning.trusts_clock() || owed.end.is_some() {
            return;
        }
        let now = self.now().0;
        let time_to_live = self.settings.classes[class.0].deadline.0;
        let times =
            MessageTimes { deadline: owed.deadline, latest_wall: self.latest, wall: now, time_to_live };
        owed.deadline = now + self.returning.time_left(times);
        let booked = self.store.deadline(number, owed.deadline);
        self.booked(booked);
    }

    /// Heeds what others warn of. What this sender knows itself stands beside it, and its own list counts before it.
    pub(super) fn heed(&mut self, caution: EndpointRestrictions) {
        if !self.returning.sends_backlog() {
            // Changes since a version come when there are some: only the whole list is an answer at once.
            self.version = None;
        }
        let now = self.now();
        let mut entries = Vec::new();
        for (name, of) in caution.endpoints {
            let Some(id) = self.endpoint_ids.get(&name).copied() else { continue };
            if of.is_withdrawn
                && let Some(at) = self.endpoints.get_mut(&id)
                && at.member.phase == Phase::Serving
            {
                at.member.phase = Phase::Draining;
                entries.extend(self.entry(id));
                // Only the whole list can say that it is not so.
                self.version = None;
            }
            if of.retry_after_us > 0 {
                self.pending
                    .push((now, Event::RetryAfter { endpoint: id, wait: TimeDelta(of.retry_after_us) }));
            }
            self.sender.warned(now, id, of.health);
        }
        if !entries.is_empty() {
            self.log(&format!(
                "{} endpoints stay out: other senders heard that they drain or are gone",
                entries.len()
            ));
            self.pending.push((now, Event::EndpointUpdates(entries)));
        }
    }

    /// What this sender has to say of endpoints to another that comes back.
    pub(super) fn word(&self) -> BTreeMap<String, EndpointReport> {
        let now = self.now();
        let of = |id, out| {
            let mut word = EndpointReport { is_withdrawn: out, ..EndpointReport::default() };
            for (place, learned) in self.sender.learned(id).iter().enumerate() {
                let Some((told, health)) = learned.as_ref().map(|learned| learned.word(now)) else {
                    continue;
                };
                word.retry_after_us = word.retry_after_us.max(told.0);
                // Whether it answers is of its own line.
                if place == 0 {
                    word.health = health;
                }
            }
            word
        };
        let all = self
            .endpoints
            .iter()
            .map(|(id, at)| (at.member.id.clone(), of(*id, at.member.phase != Phase::Serving)));
        all.filter(|(_, word)| !word.is_empty()).collect()
    }
}
