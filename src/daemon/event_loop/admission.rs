//! Messages that are taken on, or taken up from an earlier process.
use super::EventLoop;
use crate::daemon::events::SubmitResponse;
use crate::daemon::journal::{FinalOutcome, PendingMessage, SubmittedMessage};
use crate::daemon::notifications::Notification;
use crate::{
    ClassId, DestinationId, Event, Idempotency, Message, MessageId, OrderKey, RecoveredMessage, TimeDelta,
    Timestamp, ZoneId,
};
use std::hash::{DefaultHasher, Hash, Hasher};
use tokio::time::Instant;

impl EventLoop {
    pub(super) fn submit(&mut self, message: SubmittedMessage, deadline: Instant) -> SubmitResponse {
        if self.numbers.contains_key(&message.id) || self.store.was_over(&message.id) {
            return SubmitResponse::Accepted;
        }
        let owed = PendingMessage::new(message, self.clock.at(deadline).0);
        let Some(class) = self.classes.of_newcomer(&owed.message.class) else {
            return SubmitResponse::Malformed(format!("unknown class {:?}", owed.message.class));
        };
        let tenants = &self.names.tenants;
        let unknown = |name: &&String| !tenants.is_empty() && !tenants.contains_key(*name);
        if let Some(name) = owed.message.tenant.as_ref().filter(unknown) {
            return SubmitResponse::Malformed(format!("unknown tenant {name:?}"));
        }
        let mut known = match self.message(0, class, &owed) {
            Ok(known) => known,
            Err(what) => return SubmitResponse::Malformed(what),
        };
        if self.cannot_promise() {
            self.figures.refused(&owed.message.class);
            return SubmitResponse::Rejected;
        }
        let away = self.returning.rejects_for(self.repeats(class));
        if let Some(wait) = away.or_else(|| self.returning.admit().err()) {
            self.figures.refused(&owed.message.class);
            return SubmitResponse::RetryAfter(wait);
        }
        let now = self.now();
        // Only the platform is still to hear of the others.
        let held = self.numbers.len() - self.unnoticed;
        if !self.sender.admits(now, held, known.destination) {
            self.figures.refused(&owed.message.class);
            self.trace.ended(now, owed.message.destination, "door", &owed.message.class, 0);
            return SubmitResponse::Rejected;
        }
        let class = owed.message.class.clone();
        let id = owed.message.id.clone();
        if self.config.operator.recovery.is_some() {
            self.marks.mark(&mut self.store, now.0);
        }
        match self.store.accept(owed) {
            Ok(number) => {
                known.id = MessageId(number);
                self.numbers.insert(id, number);
                self.trace.taken(now, known.destination.0);
                self.pending.push((now, Event::Message(known)));
                SubmitResponse::Accepted
            }
            Err(e) => {
                self.figures.refused(&class);
                self.log(&format!("refused: {e}"));
                SubmitResponse::Rejected
            }
        }
    }

    /// A message in the module's terms; the error says what cannot be understood.
    pub(super) fn message(
        &self,
        number: u32,
        class: ClassId,
        owed: &PendingMessage,
    ) -> Result<Message, String> {
        let of_class = &self.settings.classes[class.0];
        if matches!(of_class.idempotency, Idempotency::WithKey { .. })
            && owed.message.idempotency_key.is_none()
        {
            return Err(format!("class {:?} needs an idempotency key", owed.message.class));
        }
        // One of before may be of a tenant that the settings no longer name.
        let tenant = owed.message.tenant.as_ref().and_then(|name| self.names.tenants.get(name).copied());
        // Two keys of one hash would wait for each other: harmless.
        let key = owed.message.key.as_ref().filter(|_| of_class.ordered).map(|key| {
            let mut hasher = DefaultHasher::new();
            key.hash(&mut hasher);
            OrderKey(hasher.finish())
        });
        let budget = TimeDelta(owed.deadline.saturating_sub(self.now().0));
        let destination = DestinationId(owed.message.destination);
        Ok(Message { id: MessageId(number), class, tenant, key, destination, time_to_live: budget })
    }

    /// Takes up what an earlier process left.
    pub(super) fn resume(&mut self) {
        self.latest = self.store.latest();
        let owed: Vec<(u32, PendingMessage)> =
            self.store.pending().map(|(number, owed)| (number, owed.clone())).collect();
        if !owed.is_empty() {
            let count =
                |which: fn(&PendingMessage) -> bool| owed.iter().filter(|(_, owed)| which(owed)).count();
            let untried = count(|owed| owed.end.is_none() && owed.attempts == 0);
            let ended = count(|owed| owed.end.is_some());
            let all = owed.len();
            self.log(&format!(
                "resuming: {all} messages, {untried} untried, {ended} ended and not yet noticed"
            ));
        }
        for (number, mut owed) in owed {
            self.numbers.insert(owed.message.id.clone(), number);
            let class = self.classes.of_earlier(&owed.message.class, owed.message.idempotency_key.is_some());
            let class = class.ok_or_else(|| format!("unknown class {:?}", owed.message.class));
            let fails = class.as_ref().ok().and_then(|class| self.believed(number, *class, &mut owed));
            if let Some(end) = fails {
                self.end(number, end);
                continue;
            }
            let message = match class.and_then(|class| self.message(number, class, &owed)) {
                Ok(message) => message,
                Err(what) => {
                    self.log(&format!("resuming {}: {what}", owed.message.id));
                    self.end(number, owed.end.unwrap_or(FinalOutcome::Failed));
                    continue;
                }
            };
            if owed.out.is_some() {
                // The process ended during the call: nobody knows how far that had come.
                let booked = self.store.outcome(number, true);
                self.booked(booked);
            }
            let ran = owed.ran.as_ref().or(owed.out.as_ref()).map(|first| {
                let zone = self.names.zones.get(&first.zone).copied();
                (Timestamp(first.at), zone.unwrap_or(ZoneId(usize::MAX)))
            });
            let ended = owed.end.is_some();
            let resumed =
                RecoveredMessage { message, attempts: owed.attempts, first_uncertain_attempt: ran, ended };
            self.take_up(resumed);
            if let Some(end) = owed.end {
                self.unnoticed += 1;
                let _ = self.notices.send(Notification { number, id: owed.message.id, end });
            }
        }
    }
}
