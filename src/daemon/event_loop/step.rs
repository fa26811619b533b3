//! Running a step of the decision engine, and performing the actions that it returns.
use super::EventLoop;
use crate::daemon::journal::FinalOutcome;
use crate::{Action, EndpointId, MessageId, TimeDelta, Timestamp};
use std::time::Duration;
use tokio::time::Instant;

/// A call that the engine has decided on.
struct PlannedCall {
    endpoint: EndpointId,
    messages: Vec<MessageId>,
    expires: Timestamp,
}

impl EventLoop {
    /// Passes all queued events to the engine, and performs the actions that it returns.
    pub(super) fn step(&mut self) {
        let at = Instant::now();
        let now = self.clock.timestamp(at);
        let events = self.queue.take_events(at, now);
        let mut actions = Vec::new();
        self.engine.step(now, &events, &mut actions);
        let mut calls = Vec::new();
        for action in actions {
            self.perform_action(action, at, &mut calls);
        }
        for PlannedCall { endpoint, messages, expires } in calls {
            self.begin_call(endpoint, messages, expires);
        }
    }

    /// Performs an action of a step at `at`. Sends are collected in `calls`.
    fn perform_action(&mut self, action: Action, at: Instant, calls: &mut Vec<PlannedCall>) {
        match action {
            Action::Send { message, endpoint, expires } => {
                self.plan_send(calls, message, endpoint, expires);
            }
            Action::Return { message, retry_after } => {
                self.finish_message(message.0, FinalOutcome::Returned(retry_after.map(to_milliseconds)));
            }
            Action::Fail(message) => self.finish_message(message.0, FinalOutcome::Failed),
            Action::SetTimer(delay) => self.queue.set_timer(at + Duration::from_micros(delay.0)),
            Action::CloseIdleConnections(endpoint) => self.calls.pool.close(endpoint),
            Action::ForgetEndpoint(endpoint) => {
                self.calls.pool.close(endpoint);
                self.endpoints.remove(endpoint);
            }
            Action::Log(line) => self.log(format_args!("{line}")),
            // Not needed: the endpoint list is always watched, and the engine is configured without
            // cancellation and health checks.
            Action::WatchEndpoints
            | Action::PollEndpoints
            | Action::Cancel { .. }
            | Action::CheckHealth(_) => {}
        }
    }

    /// Adds a message to the last planned call, or plans another call. Checking the last one is enough,
    /// because the engine emits the sends of a batch consecutively and with the same expiry.
    fn plan_send(
        &self,
        calls: &mut Vec<PlannedCall>,
        message: MessageId,
        endpoint: EndpointId,
        expires: Timestamp,
    ) {
        let max_batch_size = self.endpoints.get(endpoint).map_or(1, |tracked| tracked.max_batch_size);
        let open_call = calls.last_mut().filter(|call| {
            call.endpoint == endpoint && call.expires == expires && call.messages.len() < max_batch_size
        });
        match open_call {
            Some(call) => call.messages.push(message),
            None => calls.push(PlannedCall { endpoint, messages: vec![message], expires }),
        }
    }
}

/// Converts a duration to milliseconds, the unit of notifications, rounding up.
fn to_milliseconds(time: TimeDelta) -> u64 {
    time.0.div_ceil(1000)
}
