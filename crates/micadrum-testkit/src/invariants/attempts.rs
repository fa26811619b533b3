//! Attempts: too many (`Attempts`), after an end (`SentAfterEnd`), or where an earlier one may have run (`Doubled`).
use super::{Hold, Invariant, InvariantChecker, TOLERANCE, Wait, seconds};
use crate::observation::{At, MessageEnd};
use crate::plan::{Class, KEY_WINDOW, MAX_ATTEMPTS};

impl InvariantChecker {
    /// One message of a call that began.
    pub(super) fn sent(&mut self, at: At, call: u64, id: &str, sender: u32, endpoint: &str, sent: At) {
        let Some(message) = self.messages.get_mut(id) else {
            self.convict(
                Invariant::SentAfterEnd,
                at,
                Some(id),
                format!("sender {sender} sent an unknown message"),
            );
            return;
        };
        message.attempts += 1;
        message
            .history
            .push((at, format!("call {call} by sender {sender} at {endpoint}, sent {}", seconds(sent))));
        let open = std::mem::replace(&mut message.calls, vec![call]);
        message.calls.extend(&open);
        if message.hold == Hold::Void {
            return;
        }
        let mut broken = Vec::new();
        if message.attempts > MAX_ATTEMPTS {
            broken.push((Invariant::Attempts, format!("attempt {} of {MAX_ATTEMPTS}", message.attempts)));
        }
        if message.noticed.is_some_and(|noticed| noticed < sent) {
            broken.push((Invariant::SentAfterEnd, "it was sent after the notice of its end".to_owned()));
        }
        if message.hold == Hold::Refused {
            broken.push((Invariant::SentAfterEnd, "it was sent though refused".to_owned()));
        }
        match (message.class, message.ran_sent) {
            (Class::Charge, Some(_)) => {
                broken.push((Invariant::Doubled, "it was sent again though it may have run".to_owned()));
            }
            (Class::TripRecord, Some(first)) if sent > first + KEY_WINDOW.0 + TOLERANCE => {
                let what = format!("it was sent again {} after it may have run", seconds(sent - first));
                broken.push((Invariant::Doubled, what));
            }
            _ => {}
        }
        // A close may be on its way still: who was out at once shows when it comes.
        let mut beside: Vec<(u64, Invariant)> =
            open.into_iter().map(|other| (other, Invariant::Beside)).collect();
        let (vehicle, of) = (message.vehicle, message.sender);
        if let Some(queue) = vehicle.and_then(|v| self.order.get(&(of, v))) {
            for earlier in queue.iter().take_while(|other| *other != id) {
                let Some(first) = self.messages.get(earlier) else { continue };
                if first.hold == Hold::TakenOn && first.over.is_none_or(|over| over > sent) {
                    broken.push((Invariant::Order, format!("it was sent before {earlier} was over")));
                } else if first.hold == Hold::TakenOn {
                    beside.extend(first.calls.iter().map(|other| (*other, Invariant::Order)));
                }
            }
        }
        for (other, rule) in beside {
            // The connections of an earlier process ended with it, whenever that shows.
            let exited = self.senders.get(&sender).and_then(|of| of.exited).unwrap_or(0);
            let Some(known) = self.calls.get_mut(&other).filter(|o| o.sender == sender && o.sent >= exited)
            else {
                continue;
            };
            // What came first need not have been sent first: the later one must not begin before the earlier ends.
            if known.sent <= sent {
                known.beside.push((rule, id.to_owned(), sent));
            } else if rule == Invariant::Beside {
                let later = known.sent;
                if let Some(this) = self.calls.get_mut(&call) {
                    this.beside.push((rule, id.to_owned(), later));
                }
            }
        }
        for (rule, what) in broken {
            self.convict(rule, at, Some(id), what);
        }
    }

    pub(super) fn replied(
        &mut self,
        at: At,
        call: u64,
        ends: &[(String, MessageEnd)],
        wait: Option<At>,
        heard: At,
    ) {
        let Some(known) = self.calls.get(&call) else { return };
        let (sender, line, sent) = (known.sender, known.line, known.sent);
        let heard_by =
            self.senders.get(&sender).is_none_or(|of| of.exited.is_none_or(|exited| exited < sent));
        if let Some(until) = wait.filter(|_| heard_by) {
            self.told_to_wait(at, sender, line, Wait { call, from: heard, until });
        }
        if heard_by && ends.iter().any(|(_, end)| *end != MessageEnd::Ok) {
            self.saw_failure(line, sender);
        }
        let mut delivered = Vec::new();
        for (id, end) in ends {
            let Some(message) = self.messages.get_mut(id) else { continue };
            message.history.push((at, format!("call {call} answered: {end:?}")));
            message.calls.retain(|other| *other != call);
            match end {
                MessageEnd::Ok => {
                    message.ran_sent.get_or_insert(sent);
                    delivered.push(id.clone());
                }
                MessageEnd::Error | MessageEnd::Spoilt => {
                    message.ran_sent.get_or_insert(sent);
                }
                MessageEnd::Full => {}
            }
        }
        for id in delivered {
            self.over(at, &id);
        }
    }

    pub(super) fn closed(&mut self, at: At, call: u64, sent: At) {
        self.unanswered(at, call, sent);
        self.out_no_more(at, call, sent);
    }

    /// The messages of a call that has no answer may have run.
    pub(super) fn unanswered(&mut self, at: At, call: u64, sent: At) {
        let Some(known) = self.calls.get(&call) else { return };
        let (line, sender, began, ids) = (known.line, known.sender, known.sent, known.ids.clone());
        self.saw_failure(line, sender);
        for id in &ids {
            let Some(message) = self.messages.get_mut(id) else { continue };
            message.history.push((at, format!("call {call} closed by the sender, sent {}", seconds(sent))));
            message.calls.retain(|other| *other != call);
            message.ran_sent.get_or_insert(began);
        }
    }
}
