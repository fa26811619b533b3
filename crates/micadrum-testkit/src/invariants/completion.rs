//! Ends: one that does not come (`Lost`), or too late (`Late`), and messages from their first hand-in until they are
//! forgotten.
use super::{
    AFTER_READY, ANSWER_SLACK, Hold, Invariant, InvariantChecker, Message, SEEN_TO_END, TOLERANCE, WATCHED,
    seconds,
};
use crate::observation::{At, Seen, Told};
use crate::plan::Class;

impl InvariantChecker {
    pub(super) fn handed_in(&mut self, at: At, seen: &Seen) {
        let Seen::HandedIn { id, operation, sender, class, vehicle, deadline } = seen else { return };
        let history = (at, format!("handed in to sender {sender} (operation {operation}, {})", class.name()));
        if let Some(known) = self.messages.get_mut(id) {
            // The same id once more: nothing new is owed.
            known.history.push(history);
            return;
        }
        if let Some(vehicle) = vehicle {
            self.order.entry((*sender, *vehicle)).or_default().push_back(id.clone());
        }
        self.due.insert((deadline + ANSWER_SLACK + TOLERANCE, id.clone()));
        let message = Message {
            class: *class,
            sender: *sender,
            vehicle: *vehicle,
            deadline: *deadline,
            hold: Hold::Open,
            over: None,
            overdue: false,
            noticed: None,
            attempts: 0,
            found: false,
            ran_sent: None,
            effects: 0,
            calls: Vec::new(),
            history: vec![history],
        };
        self.messages.insert(id.clone(), message);
    }

    pub(super) fn answered(&mut self, at: At, id: &str, told: Told) {
        let Some(message) = self.messages.get_mut(id) else { return };
        message.history.push((at, format!("its client heard {told:?}")));
        // Handed in once more under the same id, the first answer holds.
        if message.hold != Hold::Open {
            return;
        }
        message.hold = match told {
            Told::TakenOn => Hold::TakenOn,
            Told::Refused => Hold::Refused,
            Told::Failed | Told::Nothing | Told::Cut => Hold::Void,
        };
        match message.hold {
            _ if told == Told::Cut => self.cuts.push_back((at, message.sender, id.to_owned())),
            Hold::TakenOn => self.verdict.taken += 1,
            Hold::Refused if message.attempts > 0 => {
                self.convict(Invariant::SentAfterEnd, at, Some(id), "it was sent and refused".to_owned());
            }
            _ => {}
        }
    }

    pub(super) fn noticed(&mut self, at: At, id: &str, returned: bool) {
        let Some(message) = self.messages.get_mut(id) else { return };
        let word = if returned { "returned" } else { "failed" };
        message.history.push((at, format!("noticed as {word}")));
        if message.noticed.is_none()
            && message.found
            && message.attempts == 0
            && message.hold == Hold::TakenOn
        {
            self.verdict.given_up_untried += 1;
        }
        message.noticed.get_or_insert(at);
        let ran = message.ran_sent.is_some() || !message.calls.is_empty();
        if returned && message.class == Class::Charge && ran && message.hold != Hold::Void {
            self.convict(
                Invariant::Doubled,
                at,
                Some(id),
                "it was returned though it may have run".to_owned(),
            );
        }
        self.over(at, id);
    }

    /// Looks at messages whose end must be there by now; forgets those watched for long enough.
    pub(super) fn look_at_due(&mut self, now: At) {
        while let Some((due, id)) = self.due.first().filter(|(due, _)| *due < now).cloned() {
            self.due.remove(&(due, id.clone()));
            let Some(message) = self.messages.get(&id) else { continue };
            let (hold, over, sender, overdue) = (message.hold, message.over, message.sender, message.overdue);
            let limit = message.deadline + ANSWER_SLACK + TOLERANCE;
            let missing = hold == Hold::TakenOn && over.is_none();
            let last_look = due > limit + WATCHED || now == At::MAX;
            let of = self.senders.entry(sender).or_default();
            let excused = if of.ending.is_some() { now.saturating_add(AFTER_READY) } else { of.excused };
            if missing && last_look {
                self.convict(Invariant::Lost, due, Some(&id), "it has no end".to_owned());
            }
            if last_look {
                self.forget(&id);
                continue;
            }
            if missing && excused > due {
                self.due.insert((excused, id));
                continue;
            }
            if missing && let Some(message) = self.messages.get_mut(&id) {
                // Late if its end still comes, lost if it does not.
                message.overdue = true;
            }
            if let Some(over) =
                over.filter(|over| hold == Hold::TakenOn && !overdue && *over > limit.max(excused))
            {
                self.late(over, &id);
            }
            self.due.insert((limit + WATCHED + 1, id));
        }
    }

    /// The end of a message came too late.
    pub(super) fn late(&mut self, over: At, id: &str) {
        let Some(message) = self.messages.get(id) else { return };
        let late = over.saturating_sub(message.deadline);
        self.convict(
            Invariant::Late,
            over,
            Some(id),
            format!("its end came {} s after its time was up", seconds(late)),
        );
    }

    /// A message has its end; if that was due before, it is late.
    pub(super) fn over(&mut self, at: At, id: &str) {
        let Some(message) = self.messages.get_mut(id) else { return };
        let first = message.over.is_none();
        message.over.get_or_insert(at);
        if first && message.overdue && message.hold == Hold::TakenOn {
            self.late(at, id);
        }
    }

    /// Ending a client's connection without an answer loses its message, unless the process ended with it.
    pub(super) fn look_at_cuts(&mut self, now: At) {
        while let Some((at, sender, id)) =
            self.cuts.front().filter(|(at, ..)| *at + SEEN_TO_END < now).cloned()
        {
            self.cuts.pop_front();
            let exited = self.senders.get(&sender).and_then(|of| of.exited);
            if exited.is_none_or(|exited| exited.abs_diff(at) > SEEN_TO_END) {
                self.convict(
                    Invariant::Lost,
                    at,
                    Some(&id),
                    "its client's connection ended without an answer".to_owned(),
                );
            }
        }
    }

    pub(super) fn forget(&mut self, id: &str) {
        let Some(message) = self.messages.remove(id) else { return };
        if let Some(vehicle) = message.vehicle
            && let Some(queue) = self.order.get_mut(&(message.sender, vehicle))
        {
            queue.retain(|other| other != id);
            if queue.is_empty() {
                self.order.remove(&(message.sender, vehicle));
            }
        }
    }
}
