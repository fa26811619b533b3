//! The events that are queued for the next step of the decision engine, and the time of that step.
use crate::{Event, Message, Outcome, Timestamp};
use std::time::Duration;
use tokio::time::Instant;

/// A queue of events in the order in which they occurred, with the engine's timer.
pub(super) struct StepQueue {
    events: Vec<(Timestamp, Event)>,
    last_step: Instant,
    timer: Option<Instant>,
}

impl StepQueue {
    /// Creates an empty queue. The first step is due one interval after `now` at the earliest.
    pub(super) fn new(now: Instant) -> Self {
        Self { events: Vec::new(), last_step: now, timer: None }
    }

    /// Queues an event that occurred at `at` for the next step.
    pub(super) fn push(&mut self, at: Timestamp, event: Event) {
        self.events.push((at, event));
    }

    /// Returns the messages in the queued events.
    pub(super) fn messages(&self) -> impl Iterator<Item = &Message> {
        self.events.iter().filter_map(|(_, event)| match event {
            Event::Message(message) => Some(message),
            Event::Recovered(recovered) => Some(&recovered.message),
            _ => None,
        })
    }

    /// Returns whether no event is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns when the next step is due, at the earliest `min_interval` after the last one. Returns `None`
    /// if no event is queued and no timer is set.
    pub(super) fn due(&self, min_interval: Duration) -> Option<Instant> {
        let earliest = self.last_step + min_interval;
        if self.events.is_empty() { self.timer.map(|timer| timer.max(earliest)) } else { Some(earliest) }
    }

    /// Sets the engine's timer, unless an earlier one is set.
    pub(super) fn set_timer(&mut self, at: Instant) {
        self.timer = Some(self.timer.map_or(at, |timer| timer.min(at)));
    }

    /// Removes and returns the events for a step at `at`, which is `now` on the engine's clock.
    pub(super) fn take_events(&mut self, at: Instant, now: Timestamp) -> Vec<Event> {
        self.last_step = at;
        let mut events = Vec::with_capacity(self.events.len() + 1);
        for (occurred_at, mut event) in self.events.drain(..) {
            subtract_age(&mut event, now.0.saturating_sub(occurred_at.0));
            events.push(event);
        }
        if self.timer.take_if(|timer| *timer <= at).is_some() {
            events.push(Event::TimerFired);
        }
        events
    }
}

/// Subtracts the age of an event, in microseconds, from the remaining time that it carries. Remaining times
/// count from when the event occurred, not from the step that processes it.
fn subtract_age(event: &mut Event, age: u64) {
    match event {
        Event::Message(message) => {
            message.time_to_live.0 = message.time_to_live.0.saturating_sub(age);
        }
        Event::AttemptEnded { outcome: Outcome::Rejected { retry_after: Some(wait) }, .. }
        | Event::RetryAfter { wait, .. } => {
            wait.0 = wait.0.saturating_sub(age);
        }
        _ => {}
    }
}
