//! This sender's own incarnation: its persistence, its confirmation by other members, and the move to a
//! higher one if others know of a later one, as the state folder was lost or restored from an older copy.
use super::{Event, Membership, Output};
use crate::datagram::Body;
use crate::incarnation::{Incarnation, KnownIncarnation};
use crate::member::MemberId;
use crate::send_budget::SendPriority;
use crate::status::{LocalStatus, Status};
use std::time::Duration;

/// How soon a failed write of the incarnation record is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Upper bound on the number of times that one process moves to a higher incarnation.
const MAX_RENEWALS: u32 = 3;
/// How long a process waits for another one with the same incarnation number to take a higher number, before
/// it takes one itself.
const DISPUTE_TIMEOUT: Duration = Duration::from_secs(2);

impl Membership {
    pub(super) fn set_local_status(&mut self, status: LocalStatus) {
        self.local.status = status;
        if !status.is_communicating() {
            for member in self.members.values_mut() {
                member.probe = None;
                member.is_urgent = false;
            }
            self.probes.cancel();
            self.gossip.push_at = None;
        }
        self.emit(Event::LocalStatusChanged(status));
    }

    pub(super) fn write_record(&mut self) {
        self.record_schedule.write_at = None;
        self.record_schedule.is_writing = true;
        self.outputs.push_back(Output::WriteRecord(self.record.to_bytes()));
    }

    pub(super) fn handle_record_write_failed(&mut self, now: Duration) {
        self.record_schedule.is_writing = false;
        // The delay is harmless: a sender sends nothing until its incarnation is persisted, and the record
        // about others is not urgent.
        self.record_schedule.write_at = Some(now + WRITE_RETRY_DELAY);
    }

    pub(super) fn handle_record_written(&mut self, now: Duration) {
        self.record_schedule.is_writing = false;
        if self.local.status != LocalStatus::PersistingIncarnation {
            return;
        }
        self.started_at = now;
        self.probes.next_probe_at = now;
        self.set_local_status(LocalStatus::ConfirmingIncarnation);
        // Announces the incarnation to all members at once, as far as the send budget permits.
        for id in self.shuffled_members(|_| true) {
            self.request_urgent_probe(id);
        }
        self.check_confirmed();
    }

    /// Handles the report of the member `by` about the highest incarnation that it knows of this sender.
    pub(super) fn handle_own_incarnation_known(
        &mut self,
        by: MemberId,
        known: KnownIncarnation,
        now: Duration,
    ) {
        let (theirs, ours) = (known.incarnation, self.local.incarnation);
        if theirs == ours {
            self.local.confirmed_by.insert(by);
            self.check_confirmed();
            return;
        }
        if theirs.number < ours.number || known.proof != self.secret.prove(theirs) {
            // The member has not heard of this incarnation yet, or claims one that this sender never had.
            return;
        }
        let is_disputed = theirs.number == ours.number;
        if is_disputed && !self.is_dispute_overdue(theirs, now) {
            return;
        }
        let is_unconfirmed = self.local.status == LocalStatus::ConfirmingIncarnation;
        if (is_disputed || is_unconfirmed) && self.local.renewals < MAX_RENEWALS {
            self.renew_incarnation(theirs.number);
        } else {
            self.set_local_status(LocalStatus::Superseded);
        }
    }

    /// Returns whether this process has to take a higher number than another process that took the same
    /// number.
    ///
    /// If both processes are running, the unconfirmed one takes a higher number, and the other learns of it
    /// and stops sending. If that does not happen in time, the other process has ended. This one then takes a
    /// higher number, as members that recorded the other one first would otherwise never accept it.
    fn is_dispute_overdue(&mut self, theirs: Incarnation, now: Duration) -> bool {
        let since = *self.local.disputed_since.get_or_insert(now);
        let waits_for_other = self.local.status != LocalStatus::ConfirmingIncarnation
            || self.local.renewals > 0 && self.local.incarnation.run > theirs.run;
        let is_waiting = waits_for_other && now.saturating_sub(since) < DISPUTE_TIMEOUT;
        if is_waiting || self.local.renewals == MAX_RENEWALS {
            return false;
        }
        self.local.disputed_since = None;
        true
    }

    /// Takes the incarnation number after `known`, the one that other members know.
    fn renew_incarnation(&mut self, known: u64) {
        let Some(number) = known.checked_add(1) else {
            self.local.renewals += 1;
            self.set_local_status(LocalStatus::Exhausted);
            return;
        };
        let incarnation = Incarnation { number, ..self.local.incarnation };
        self.local.renew(incarnation, self.secret.prove(incarnation));
        self.record.own_number = number;
        self.emit(Event::StateLossDetected { incarnation: number, known });
        self.set_local_status(LocalStatus::PersistingIncarnation);
        self.write_record();
    }

    /// Marks the incarnation as confirmed once a majority of members, including this one, knows it as the
    /// highest.
    pub(super) fn check_confirmed(&mut self) {
        let has_majority = (self.local.confirmed_by.len() + 1) * 2 > self.roster.size();
        if self.local.status == LocalStatus::ConfirmingIncarnation && has_majority {
            self.set_local_status(LocalStatus::Confirmed);
        }
    }

    /// Announces to the other members that this sender shuts down.
    pub(super) fn leave(&mut self, now: Duration) {
        if self.is_communicating() {
            for id in self.shuffled_members(|member| member.status != Status::Dead) {
                self.send(id, &Body::Leave, SendPriority::High, now);
            }
        }
        self.set_local_status(LocalStatus::Left);
        self.record_schedule.write_at = None;
    }
}
