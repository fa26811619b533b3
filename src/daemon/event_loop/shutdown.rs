//! How a host ends: it winds down, or gives its place to the next process.
use super::EventLoop;
use crate::Event;
use crate::daemon::config::Config;
use crate::daemon::events::{ListenerState, LoopEvent};
use crate::daemon::handover::{InheritedState, Successor};
use crate::daemon::metrics::Metrics;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep};

/// From SIGTERM to the end of the process: the platform kills no sooner than 3.7 s after it.
const WIND_DOWN: Duration = Duration::from_millis(3400);
/// From SIGTERM on, clients still come for 0.4 s.
const STILL_COMING: Duration = Duration::from_millis(600);
/// How long a call that is given up may take to be closed: nobody may have a second copy while it is open.
const CLOSING: Duration = Duration::from_millis(10);

/// When the process winds down.
#[derive(Clone, Copy)]
pub(super) struct ShutdownDeadlines {
    /// From then on it ends as soon as nothing is owed.
    pub(super) quiet: Instant,
    pub(super) end: Instant,
}

/// What a host leaves behind that gave up its place.
pub struct HandoverState {
    /// To whom.
    pub successor: Successor,
    /// What it leaves, beside the journal.
    pub inheritance: InheritedState,
    /// The configuration that it followed.
    pub config: Rc<Config>,
    /// Its last picture.
    pub figures: Rc<Metrics>,
}

impl EventLoop {
    /// Begins to wind down, as it was `told` to.
    pub(super) fn wind_down(&mut self, told: Instant) {
        if self.winding_down.is_none() {
            let wind_down = ShutdownDeadlines { quiet: told + STILL_COMING, end: told + WIND_DOWN };
            self.winding_down = Some(wind_down);
            self.doors.set(ListenerState::Draining);
            self.pending.push((self.now(), Event::Shutdown(self.clock.at(wind_down.end))));
        }
    }

    /// Ends with all calls closed and the journal as it is; from here on nothing is taken in.
    pub(super) async fn give_up(
        mut self,
        successor: Successor,
        inputs: &mut UnboundedReceiver<LoopEvent>,
    ) -> HandoverState {
        self.doors.set(ListenerState::HandingOver);
        self.tasks.shutdown().await;
        sleep(CLOSING).await;
        // What has come to its end by now is booked and learned from: a wait that was told binds the next process
        // too. Who hands in a message is passed on; the rest is not this host's any more.
        let mut left = Vec::new();
        while let Ok(input) = inputs.try_recv() {
            match input {
                LoopEvent::CallCompleted(_)
                | LoopEvent::NotificationsAcknowledged(_)
                | LoopEvent::EndpointList(_) => self.take_in(input),
                LoopEvent::Submit { .. }
                | LoopEvent::Connected { .. }
                | LoopEvent::ConnectionIdle(..)
                | LoopEvent::Successor(_) => {}
                LoopEvent::Shutdown(_)
                | LoopEvent::Reload(_)
                | LoopEvent::ReloadIfChanged(_)
                | LoopEvent::Admin(_) => {
                    left.push(input);
                }
                // Of a file that this host has closed.
                LoopEvent::JournalSynced(..) => {}
            }
        }
        for input in left {
            let _ = self.outside.host.send(input);
        }
        // No call is begun that would end after now: none at all.
        let now = self.now();
        self.pending.push((now, Event::Handover(now)));
        self.step();
        self.picture = None;
        let figures = Metrics { inflight: 0, ..(*self.picture()).clone() };
        let inheritance =
            InheritedState { checkpoint: self.memory(), classes: self.classes.named().to_vec() };
        HandoverState { successor, inheritance, config: self.config, figures: Rc::new(figures) }
    }
}
