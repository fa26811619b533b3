//! How an event loop ends: by a graceful shutdown, or by a handover to a successor.
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

/// From SIGTERM to the end of the process: the platform kills the process no sooner than 3.7 s after SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3400);
/// How long after SIGTERM the process serves even with nothing left to do: clients still come for 0.4 s.
const MIN_SHUTDOWN_DURATION: Duration = Duration::from_millis(600);
/// From a successor's request until the handover: calls that take longer are abandoned.
const HANDOVER_SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an abandoned call may take to be closed: nobody may send a second copy while its connection is
/// open.
const CONNECTION_CLOSE_DELAY: Duration = Duration::from_millis(10);

/// When a graceful shutdown ends.
#[derive(Clone, Copy)]
struct ShutdownDeadlines {
    /// From then on the process ends as soon as nothing is left to do.
    earliest: Instant,
    /// Then the process ends with what it has.
    latest: Instant,
}

/// A successor that has asked to take over.
struct RequestedHandover {
    successor: Successor,
    /// When the handover begins at the latest.
    deadline: Instant,
}

/// Whether the event loop is to end, and what its listener does meanwhile.
pub(super) struct Lifecycle {
    pub(super) listener: WatchCell<ListenerState>,
    shutdown: Option<ShutdownDeadlines>,
    handover: Option<RequestedHandover>,
}

impl Lifecycle {
    /// A loop that is to go on.
    pub(super) fn new(listener: WatchCell<ListenerState>) -> Self {
        Self { listener, shutdown: None, handover: None }
    }

    /// Whether a graceful shutdown has begun.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Returns when the shutdown or the handover proceeds by time alone.
    pub(super) fn due(&self) -> Option<Instant> {
        let shutdown = self.shutdown.map(|deadlines| {
            if Instant::now() < deadlines.earliest { deadlines.earliest } else { deadlines.latest }
        });
        let handover = self.handover.as_ref().map(|handover| handover.deadline);
        shutdown.into_iter().chain(handover).min()
    }

    /// Whether the shutdown is over at `now`.
    fn is_shutdown_over(&self, now: Instant, is_idle: impl FnOnce() -> bool) -> bool {
        self.shutdown
            .is_some_and(|deadlines| now >= deadlines.earliest && (now >= deadlines.latest || is_idle()))
    }

    /// Takes the successor if the handover begins at `now`: its time has come, or no call is in flight.
    pub(super) fn take_successor(&mut self, now: Instant, has_calls: bool) -> Option<Successor> {
        let handover = self.handover.take_if(|handover| now >= handover.deadline || !has_calls);
        handover.map(|handover| handover.successor)
    }
}

/// What an event loop leaves behind that gives way to a successor.
pub struct HandoverState {
    /// The successor.
    pub successor: Successor,
    /// What the successor inherits, beside the journal.
    pub inheritance: InheritedState,
    /// The configuration in force.
    pub config: Rc<Config>,
    /// The last snapshot of the metrics.
    pub metrics: Rc<Metrics>,
}

impl EventLoop {
    /// Begins the graceful shutdown that was requested at `requested_at`, unless one has begun.
    pub(super) fn begin_shutdown(&mut self, requested_at: Instant) {
        if self.lifecycle.is_shutting_down() {
            return;
        }
        let earliest = requested_at + MIN_SHUTDOWN_DURATION;
        let latest = requested_at + SHUTDOWN_TIMEOUT;
        self.lifecycle.shutdown = Some(ShutdownDeadlines { earliest, latest });
        self.lifecycle.listener.set(ListenerState::Draining);
        self.queue.push(self.clock.now(), Event::Shutdown(self.clock.timestamp(latest)));
    }

    /// Whether the shutdown is over. The listener serves until the process ends: a client may use a
    /// connection for as long as it is open, and a closed one sends the client to a new one.
    pub(super) fn is_shutdown_over(&self, now: Instant) -> bool {
        self.lifecycle.is_shutdown_over(now, || {
            let has_messages = self.messages.journal.pending().next().is_some();
            self.calls.is_empty() && !has_messages && !self.has_deferred_effects()
        })
    }

    /// Begins to give way to a successor. A second request during a handover breaks the link of its sender.
    pub(super) fn request_handover(&mut self, successor: Successor) {
        if self.lifecycle.handover.is_some() {
            return;
        }
        if self.messages.journal.lacks_records() {
            // The successor would read a journal that lacks what this process knows.
            self.log(format_args!("handover: refused, the journal lacks records"));
            return;
        }
        let deadline = Instant::now() + HANDOVER_SETTLE_TIMEOUT;
        self.log(format_args!("handover: a successor asks to take over"));
        self.lifecycle.handover = Some(RequestedHandover { successor, deadline });
        self.queue.push(self.clock.now(), Event::Handover(self.clock.timestamp(deadline)));
    }

    /// Ends the loop with all calls closed and the journal as it is; nothing is accepted from here on.
    pub(super) async fn hand_over(
        mut self,
        successor: Successor,
        events: &mut UnboundedReceiver<LoopEvent>,
    ) -> HandoverState {
        self.lifecycle.listener.set(ListenerState::HandingOver);
        self.tasks.shutdown().await;
        sleep(CONNECTION_CLOSE_DELAY).await;
        self.handle_last_events(events);
        // No call may begin that would end after now: none at all.
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

    /// Handles what has ended by now: a Retry-After binds the successor, too. Submitted messages are
    /// forwarded to the successor by the listener, and orders wait for whoever has the listener at the end.
    fn handle_last_events(&mut self, events: &mut UnboundedReceiver<LoopEvent>) {
        let mut orders = Vec::new();
        while let Ok(event) = events.try_recv() {
            match event {
                LoopEvent::CallCompleted(_)
                | LoopEvent::NotificationsAcknowledged(_)
                | LoopEvent::EndpointList(_) => self.handle(event),
                LoopEvent::Shutdown(_)
                | LoopEvent::Reload(_)
                | LoopEvent::ReloadIfChanged(_)
                | LoopEvent::Admin(_) => orders.push(event),
                LoopEvent::Submit { .. }
                | LoopEvent::Connected { .. }
                | LoopEvent::ConnectionIdle { .. }
                | LoopEvent::Successor(_) => {}
                // A sync of a file that this loop has closed.
                LoopEvent::JournalSynced { .. } => {}
            }
        }
        for order in orders {
            let _ = self.events.send(order);
        }
    }
}
