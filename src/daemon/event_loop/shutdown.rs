//! The end of an event loop: by a graceful shutdown, or by a handover to a successor.
use super::EventLoop;
use crate::Event;
use crate::daemon::config::Config;
use crate::daemon::events::{ListenerState, LoopEvent};
use crate::daemon::handover::{InheritedState, Successor};
use crate::daemon::metrics::Metrics;
use crate::daemon::watch_cell::WatchCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep};

/// The maximum time from SIGTERM to the end of the process. The platform sends SIGKILL 3.7 s after SIGTERM at
/// the earliest.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3400);
/// The minimum time from SIGTERM to the end of the process. New clients may connect until 0.4 s after
/// SIGTERM.
const MIN_SHUTDOWN_DURATION: Duration = Duration::from_millis(600);
/// How long a request that has begun to arrive is waited for once the listener is closing. Clients wait 400 ms
/// for the response.
const REQUEST_COMPLETION_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum time from a successor's request to the handover. Calls that take longer are aborted.
const HANDOVER_SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// The time allowed for closing the connections of aborted calls. While a connection is open, its messages
/// must not be sent again.
const CONNECTION_CLOSE_DELAY: Duration = Duration::from_millis(10);

/// A graceful shutdown in progress.
#[derive(Clone, Copy)]
struct Shutdown {
    /// From this time on, the listener closes as soon as no work is left.
    earliest: Instant,
    /// At this time the loop ends even if work is left.
    latest: Instant,
    phase: ShutdownPhase,
}

/// The phase of a graceful shutdown.
#[derive(Clone, Copy)]
enum ShutdownPhase {
    /// Clients are still served, because they may use a connection until it is closed.
    Draining,
    /// The listener is closing, and requests that have begun to arrive are waited for until then.
    Closing {
        /// The latest time to which the loop waits for clients.
        until: Instant,
    },
    /// The last client connection has closed.
    ClientsClosed,
}

impl Shutdown {
    /// Returns the next time at which the phase may change, or the shutdown may be over.
    fn due(&self, now: Instant) -> Instant {
        match self.phase {
            ShutdownPhase::Draining if now < self.earliest => self.earliest,
            ShutdownPhase::Closing { until } if now < until => until,
            _ => self.latest,
        }
    }

    /// Returns whether the listener has to start closing at `now`.
    fn must_close(&self, now: Instant, is_idle: bool) -> bool {
        matches!(self.phase, ShutdownPhase::Draining) && now >= self.earliest && is_idle
    }

    /// Returns whether the loop has to end at `now`.
    fn is_over(&self, now: Instant, is_idle: bool) -> bool {
        let has_clients = match self.phase {
            ShutdownPhase::Draining => true,
            ShutdownPhase::Closing { until } => now < until,
            ShutdownPhase::ClientsClosed => false,
        };
        now >= self.latest || is_idle && !has_clients
    }
}

/// A successor's request to take over.
struct RequestedHandover {
    successor: Successor,
    /// The latest time at which the handover starts.
    deadline: Instant,
}

/// The shutdown or handover in progress, and the state of the listener.
pub(super) struct Lifecycle {
    pub(super) listener: WatchCell<ListenerState>,
    shutdown: Option<Shutdown>,
    handover: Option<RequestedHandover>,
}

impl Lifecycle {
    /// Creates the state of a loop without a shutdown or handover in progress.
    pub(super) fn new(listener: WatchCell<ListenerState>) -> Self {
        Self { listener, shutdown: None, handover: None }
    }

    /// Returns whether a graceful shutdown has begun.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Returns whether the listener closes because a shutdown is nearly over.
    fn is_closing(&self) -> bool {
        self.shutdown.is_some_and(|shutdown| !matches!(shutdown.phase, ShutdownPhase::Draining))
    }

    /// Returns the next deadline of the shutdown or handover, or `None` if neither is in progress.
    pub(super) fn due(&self) -> Option<Instant> {
        let shutdown = self.shutdown.map(|shutdown| shutdown.due(Instant::now()));
        let handover = self.handover.as_ref().map(|handover| handover.deadline);
        shutdown.into_iter().chain(handover).min()
    }

    /// Records that the last client connection has closed after the listener began to close.
    pub(super) fn clients_closed(&mut self) {
        if let Some(shutdown) = &mut self.shutdown {
            shutdown.phase = ShutdownPhase::ClientsClosed;
        }
    }

    /// Starts to close the listener if the shutdown in progress is that far at `now`. Returns whether the
    /// shutdown is over.
    fn advance_shutdown(&mut self, now: Instant, is_idle: bool) -> bool {
        let Some(shutdown) = &mut self.shutdown else { return false };
        if shutdown.must_close(now, is_idle) {
            let until = shutdown.latest.min(now + REQUEST_COMPLETION_TIMEOUT);
            shutdown.phase = ShutdownPhase::Closing { until };
            self.listener.set(ListenerState::Closing);
        }
        shutdown.is_over(now, is_idle)
    }

    /// Removes and returns the successor if the handover starts at `now`: its deadline has passed, or no call
    /// is in flight.
    pub(super) fn take_successor(&mut self, now: Instant, has_calls: bool) -> Option<Successor> {
        let handover = self.handover.take_if(|handover| now >= handover.deadline || !has_calls);
        handover.map(|handover| handover.successor)
    }
}

/// The state that an event loop returns when a successor takes over.
pub struct HandoverState {
    /// The process that takes over.
    pub successor: Successor,
    /// The state that the successor inherits in addition to the journal.
    pub inheritance: InheritedState,
    /// The active configuration.
    pub config: Rc<Config>,
    /// The last snapshot of the metrics.
    pub metrics: Rc<Metrics>,
}

impl EventLoop {
    /// Begins a graceful shutdown that was requested at `requested_at`, unless one has already begun.
    pub(super) fn begin_shutdown(&mut self, requested_at: Instant) {
        if self.lifecycle.is_shutting_down() {
            return;
        }
        self.log(format_args!("shutdown: requested"));
        let earliest = requested_at + MIN_SHUTDOWN_DURATION;
        let latest = requested_at + SHUTDOWN_TIMEOUT;
        self.lifecycle.shutdown = Some(Shutdown { earliest, latest, phase: ShutdownPhase::Draining });
        self.lifecycle.listener.set(ListenerState::Draining);
        self.queue.push(self.clock.now(), Event::Shutdown(self.clock.timestamp(latest)));
    }

    /// Advances the shutdown in progress, if there is one. Returns whether it is over: no work is left, and
    /// every request that has begun to arrive is answered, or its deadline has come.
    pub(super) fn advance_shutdown(&mut self, now: Instant) -> bool {
        self.lifecycle.is_shutting_down() && {
            let has_messages = self.messages.journal.pending().next().is_some();
            let is_idle = self.calls.is_empty() && !has_messages && !self.has_deferred_effects();
            self.lifecycle.advance_shutdown(now, is_idle)
        }
    }

    /// Logs why the loop ends at `now`, and what it leaves to the next process.
    pub(super) fn log_shutdown(&self, now: Instant) {
        let Some(Shutdown { latest, .. }) = self.lifecycle.shutdown else { return };
        let reason = if now >= latest { "deadline" } else { "idle" };
        let elapsed = now + SHUTDOWN_TIMEOUT - latest;
        self.log(format_args!(
            "shutdown: event loop ended reason={reason} after_ms={} messages={} calls={}",
            elapsed.as_millis(),
            self.messages.journal.pending().count(),
            self.calls.len()
        ));
    }

    /// Begins a handover to a successor. A second request during a handover is dropped, which closes the
    /// connection to its process.
    pub(super) fn request_handover(&mut self, successor: Successor) {
        if self.lifecycle.handover.is_some() {
            return;
        }
        if self.lifecycle.is_closing() {
            self.log(format_args!("handover: refused, this process is exiting"));
            return;
        }
        if self.messages.journal.lacks_records() {
            // The successor would recover from an incomplete journal.
            self.log(format_args!("handover: refused, the journal lacks records"));
            return;
        }
        let deadline = Instant::now() + HANDOVER_SETTLE_TIMEOUT;
        self.log(format_args!("handover: requested by a successor"));
        self.lifecycle.handover = Some(RequestedHandover { successor, deadline });
        self.queue.push(self.clock.now(), Event::Handover(self.clock.timestamp(deadline)));
    }

    /// Ends the loop: aborts all calls, processes the remaining events, and returns the state for the
    /// successor. No messages are accepted from here on.
    pub(super) async fn hand_over(
        mut self,
        successor: Successor,
        events: &mut UnboundedReceiver<LoopEvent>,
    ) -> HandoverState {
        self.lifecycle.listener.set(ListenerState::HandingOver);
        self.tasks.shutdown().await;
        sleep(CONNECTION_CLOSE_DELAY).await;
        self.handle_remaining_events(events);
        if let Some(Shutdown { latest, .. }) = self.lifecycle.shutdown {
            // Continues the shutdown if this process keeps the listener.
            let _ = self.events.send(LoopEvent::Shutdown(latest - SHUTDOWN_TIMEOUT));
        }
        // With `now` as the deadline, the engine starts no further call.
        let now = self.clock.now();
        self.queue.push(now, Event::Handover(now));
        self.step();
        self.metrics.discard_snapshot();
        let metrics = Metrics { inflight: 0, ..(*self.metrics_snapshot()).clone() };
        let classes = self.configuration.classes.named().to_vec();
        let inheritance = InheritedState { checkpoint: self.checkpoint(), classes };
        let config = self.configuration.config;
        HandoverState { successor, inheritance, config, metrics: Rc::new(metrics) }
    }

    /// Processes completions and endpoint lists that are still queued, so that a Retry-After also applies to
    /// the successor. Drops submitted messages, as the listener forwards them to the successor. Queues
    /// shutdown, reload and admin requests again in case this process keeps the listener.
    fn handle_remaining_events(&mut self, events: &mut UnboundedReceiver<LoopEvent>) {
        let mut requests = Vec::new();
        while let Ok(event) = events.try_recv() {
            match event {
                LoopEvent::CallCompleted(_)
                | LoopEvent::RetryAfter { .. }
                | LoopEvent::UnsolicitedResponse(_)
                | LoopEvent::NotificationsAcknowledged(_)
                | LoopEvent::EndpointList(_) => self.handle(event),
                LoopEvent::Shutdown(_)
                | LoopEvent::Reload(_)
                | LoopEvent::ReloadIfChanged(_)
                | LoopEvent::Admin(_) => requests.push(event),
                LoopEvent::Submit { .. }
                | LoopEvent::Connected(_)
                | LoopEvent::ConfirmCall { .. }
                | LoopEvent::ConnectionIdle { .. }
                | LoopEvent::ClientsClosed
                | LoopEvent::Successor(_) => {}
                // The event loop no longer uses the synced file.
                LoopEvent::JournalSynced { .. } => {}
            }
        }
        for request in requests {
            let _ = self.events.send(request);
        }
    }
}
