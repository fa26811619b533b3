//! A process whose event loop has ended for a handover: it offers its state to the successor, and forwards
//! reload requests afterwards.
use super::client_listener::ClientListener;
use super::events::{AdminRequest, LoopEvent};
use super::handover::{InheritedState, Successor};
use super::metrics::Metrics;
use super::ports::{Listener, Log};
use super::state_lock::StateLock;
use std::pin::{Pin, pin};
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// A process that waits for its successor.
pub struct Standby<'a> {
    pub events: &'a mut UnboundedReceiver<LoopEvent>,
    pub log: &'a dyn Log,
    pub successor: Successor,
    /// The last metrics of this process.
    pub metrics: Rc<Metrics>,
}

/// Signals received during a handover. They are passed to the process that is active after the handover.
#[derive(Default)]
pub struct PendingSignals {
    reload: Option<LoopEvent>,
    shutdown: Option<LoopEvent>,
}

/// The result of an offer to a successor.
pub struct OfferOutcome {
    /// Whether the successor has taken over.
    pub is_accepted: bool,
    /// The signals received during the offer.
    pub signals: PendingSignals,
}

/// The result of [`wait`].
enum Wakeup<T> {
    /// The awaited future is ready.
    Ready(T),
    /// A signal was received: a shutdown or a reload of the configuration.
    Signal(LoopEvent),
}

impl PendingSignals {
    /// Keeps the last reload and the first shutdown.
    fn add(&mut self, signal: LoopEvent) {
        match signal {
            LoopEvent::Shutdown(_) => self.shutdown = self.shutdown.take().or(Some(signal)),
            reload => self.reload = Some(reload),
        }
    }

    /// Returns the signals as events, for the event loop of this process if the handover failed.
    pub fn into_events(self) -> impl Iterator<Item = LoopEvent> {
        self.reload.into_iter().chain(self.shutdown)
    }
}

impl Standby<'_> {
    /// Sends the listener, the lock and the state to the successor, and waits until it has taken over or
    /// exited.
    pub async fn offer(
        &mut self,
        listener: &dyn Listener,
        lock: Option<&StateLock>,
        inheritance: &InheritedState,
    ) -> OfferOutcome {
        let mut signals = PendingSignals::default();
        let (successor, log) = (&mut self.successor, self.log);
        let mut offer = pin!(async {
            let sent = successor.hand_over(listener, lock, inheritance).await;
            if let Err(error) = &sent {
                log.line(&format!("handover: cannot send the state to the successor error={error}"));
            }
            sent.is_ok() && successor.wait_for_confirmation().await
        });
        loop {
            match wait(self.events, &self.metrics, offer.as_mut()).await {
                Wakeup::Ready(is_accepted) => {
                    self.log.line(offer_result(is_accepted));
                    return OfferOutcome { is_accepted, signals };
                }
                Wakeup::Signal(signal) => signals.add(signal),
            }
        }
    }

    /// Forwards reload requests to the successor, both those in `signals` and later ones, until the last
    /// client connection of this process has closed.
    pub async fn forward_reloads(mut self, signals: PendingSignals, clients: ClientListener) {
        if signals.reload.is_some() {
            self.successor.forward_reload().await;
        }
        // The listening socket stays open until the server ends.
        let ClientListener { listener: _listener, server, .. } = clients;
        let mut server = pin!(server);
        loop {
            match wait(self.events, &self.metrics, server.as_mut()).await {
                Wakeup::Ready(_) => return,
                Wakeup::Signal(LoopEvent::Shutdown(_)) => {}
                Wakeup::Signal(_) => self.successor.forward_reload().await,
            }
        }
    }
}

/// Returns the log line for the end of an offer.
fn offer_result(is_accepted: bool) -> &'static str {
    match is_accepted {
        true => "handover: the successor took over",
        false => "handover: the successor failed before it took over, this process continues",
    }
}

/// Waits for a future or a signal. Meanwhile, requests for metrics are answered with the last metrics, and
/// all other requests are dropped, which closes their reply channels.
async fn wait<T>(
    events: &mut UnboundedReceiver<LoopEvent>,
    metrics: &Rc<Metrics>,
    mut until: Pin<&mut impl Future<Output = T>>,
) -> Wakeup<T> {
    loop {
        let event = tokio::select! {
            biased;
            ready = &mut until => return Wakeup::Ready(ready),
            event = events.recv() => event,
        };
        match event {
            Some(LoopEvent::Admin(AdminRequest::Metrics(reply))) => drop(reply.send(metrics.clone())),
            Some(
                signal @ (LoopEvent::Shutdown(_) | LoopEvent::Reload(_) | LoopEvent::ReloadIfChanged(_)),
            ) => return Wakeup::Signal(signal),
            Some(_) => {}
            None => return Wakeup::Ready(until.await),
        }
    }
}
