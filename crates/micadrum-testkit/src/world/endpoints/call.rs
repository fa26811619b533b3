//! The processing of a call to an endpoint: reads it, has the destination's model decide it, and answers it.
use super::{must_stay_silent, wait_for_state};
use crate::http::{HttpConnection, Message, answer};
use crate::observation::{AttemptResult, Micros, Observation};
use crate::plan::Class;
use crate::scenario::RepeatTrigger;
use crate::world::destination_model::{CallMessage, CallOutcome, Collapse, Delivery, IncomingCall};
use crate::world::messages::MessageOutcome;
use crate::world::{EndpointIdentity, EndpointState, World};
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::Deserialize;
use serde_json::json;
use std::rc::Rc;
use tokio::task::spawn_local;

#[derive(Deserialize)]
struct BatchItem {
    id: String,
    key: Option<String>,
    body: String,
}

/// A message as received in a call.
struct ReceivedMessage {
    id: String,
    key: Option<String>,
    body: Vec<u8>,
}

impl ReceivedMessage {
    /// Parses the messages of a call. Returns `None` if the call is malformed.
    fn read_all(message: &Message, is_batch: bool) -> Option<Vec<Self>> {
        if is_batch {
            let items: Vec<BatchItem> = serde_json::from_slice(&message.body).ok()?;
            return items.into_iter().map(Self::decode).collect();
        }
        let id = message.field("x-txn")?.to_owned();
        let key = message.field("idempotency-key").map(str::to_owned);
        Some(vec![Self { id, key, body: message.body.clone() }])
    }

    fn decode(item: BatchItem) -> Option<Self> {
        Some(Self { id: item.id, key: item.key, body: BASE64.decode(item.body).ok()? })
    }

    /// Marks the message as attempted if it matches the message that a client submitted to this destination.
    fn identify(self, world: &World, destination: u32) -> IdentifiedMessage {
        let mut messages = world.messages.borrow_mut();
        match messages.get(&self.id) {
            Some(submitted)
                if submitted.destination == destination
                    && self.key.as_ref() == Some(&submitted.key)
                    && *submitted.body == *self.body =>
            {
                submitted.attempted = true;
                IdentifiedMessage { id: self.id, class: submitted.class, key: submitted.key.clone() }
            }
            // The invariant checker reports this id as unknown.
            _ => IdentifiedMessage {
                id: format!("{} (differs from the submitted message)", self.id),
                class: Class::Charge,
                key: String::new(),
            },
        }
    }
}

/// A received message with the class and key under which it was submitted.
struct IdentifiedMessage {
    id: String,
    class: Class,
    key: String,
}

/// A call that has been received completely.
pub(super) struct Call {
    number: u64,
    endpoint: usize,
    ids: Vec<String>,
    is_batch: bool,
    outcome: CallOutcome,
}

/// The event that ends the processing of a call.
enum CallEvent {
    AnswerDue,
    ConnectionClosed { closed_at: Micros },
    ProcessDown,
}

impl Call {
    /// Parses a call and has the model decide its outcome. Returns `None` if the call is malformed.
    pub(super) fn read(world: &World, endpoint: usize, sender: u32, message: &Message) -> Option<Self> {
        let is_batch = message.path == "/hook/batch";
        let received = ReceivedMessage::read_all(message, is_batch)?;
        let number = world.next_call.get();
        world.next_call.set(number + 1);
        let state = &world.endpoints.borrow()[endpoint];
        let identified: Vec<_> =
            received.into_iter().map(|received| received.identify(world, state.destination)).collect();
        let sent_at = world.timestamp(message.first_sent_at);
        let outcome = decide(world, state, sender, sent_at, &identified);
        let EndpointIdentity { id, route } = identity_for(world, state, sender, sent_at);
        let ids: Vec<_> = identified.into_iter().map(|message| message.id).collect();
        let began = Observation::CallBegan {
            call: number,
            sender,
            endpoint: id.clone(),
            route,
            ids: ids.clone(),
            sent_at,
        };
        world.observe(began);
        if let Some(Collapse { senders, budget }) = outcome.collapse.clone() {
            world.observe(Observation::Overloaded { route, senders, budget, endpoint: id });
        }
        Some(Self { number, endpoint, ids, is_batch, outcome })
    }

    /// Processes the call and answers it as the model decided. Returns the connection, if it can carry
    /// another call.
    pub(super) async fn serve(self, world: &Rc<World>, mut http: HttpConnection) -> Option<HttpConnection> {
        let event = tokio::select! {
            biased;
            () = wait_for_state(world, self.endpoint, |endpoint| endpoint.condition.process_down) => {
                CallEvent::ProcessDown
            }
            () = world.wait_until(self.outcome.answer_at) => CallEvent::AnswerDue,
            closed = http.wait_for_close() => CallEvent::ConnectionClosed { closed_at: world.timestamp(closed) },
        };
        match event {
            CallEvent::AnswerDue => self.answer(world, http).await,
            CallEvent::ConnectionClosed { closed_at } => {
                world.observe(Observation::CallClosed { call: self.number, closed_at });
                self.run_on(world.clone());
                None
            }
            CallEvent::ProcessDown => {
                let ends = self.ids.iter().map(|id| (id.clone(), AttemptResult::Corrupted)).collect();
                self.observe_reply(world, &http, ends, None);
                None
            }
        }
    }

    /// Applies the effects of an accepted call when its answer is due, although its connection is closed.
    fn run_on(self, world: Rc<World>) {
        spawn_local(async move {
            world.wait_until(self.outcome.answer_at).await;
            self.take_effect(&world);
        });
    }

    /// Answers the call. Returns the connection if it can carry another call.
    async fn answer(self, world: &Rc<World>, mut http: HttpConnection) -> Option<HttpConnection> {
        self.take_effect(world);
        let must_stay_silent = must_stay_silent(world, &world.endpoints.borrow()[self.endpoint]);
        if must_stay_silent || self.outcome.delivery == Delivery::Never {
            let closed_at = world.timestamp(http.wait_for_close().await);
            world.observe(Observation::CallClosed { call: self.number, closed_at });
            return None;
        }
        let now = world.now();
        let ends: Vec<_> = self.ids.iter().cloned().zip(self.outcome.ends.iter().copied()).collect();
        // A Retry-After that is written while the link is cut does not reach the sender.
        let retry_after = self.outcome.retry_after.filter(|_| http.reaches_peer()).map(|wait| now + wait);
        let received_at = self.observe_reply(world, &http, ends.clone(), retry_after);
        for (id, end) in ends {
            if end == AttemptResult::Delivered {
                world.messages.borrow_mut().complete(&id, MessageOutcome::Delivered);
            }
        }
        let bytes = self.answer_bytes(world)?;
        http.write_answer(bytes).await.ok()?;
        let repetition = world.endpoints.borrow()[self.endpoint].condition.repetition;
        if self.outcome.delivery == Delivery::Complete {
            world.repeat_answer(&mut http, repetition, RepeatTrigger::Answer);
        }
        if retry_after.is_some() {
            self.watch_delivery(world, &http, received_at).await;
        }
        if self.outcome.delivery == Delivery::Complete {
            return Some(http);
        }
        // The connection cannot carry another call, but stays open until the sender closes it.
        http.wait_for_close().await;
        None
    }

    /// Records the answer to the call. Returns the time at which it reaches the sender.
    fn observe_reply(
        &self,
        world: &World,
        http: &HttpConnection,
        ends: Vec<(String, AttemptResult)>,
        retry_after: Option<Micros>,
    ) -> Micros {
        let now = world.now();
        let received_at = now + http.delay().as_micros() as Micros;
        // The sender may have closed the connection already, without the endpoint having seen the close yet.
        let in_flight_until = http.closed_at().map_or(now, |ended| world.timestamp(ended).min(now));
        world.observe(Observation::CallAnswered {
            call: self.number,
            ends,
            retry_after,
            received_at,
            in_flight_until,
        });
        received_at
    }

    /// Waits until the Retry-After is due at the sender, and records whether the sender closed the connection
    /// before receiving it. The sender sends nothing else on this connection meanwhile.
    async fn watch_delivery(&self, world: &World, http: &HttpConnection, received_at: Micros) {
        world.wait_until(received_at).await;
        if http.closed_at().is_some_and(|ended| world.timestamp(ended) < received_at) {
            world.observe(Observation::AnswerLost { call: self.number });
        }
    }

    fn take_effect(&self, world: &World) {
        for (id, effect) in self.ids.iter().zip(&self.outcome.effects) {
            if *effect {
                world.observe(Observation::TookEffect { id: id.clone() });
            }
        }
    }

    /// Returns the bytes to write, or `None` if the connection is closed without an answer.
    fn answer_bytes(&self, world: &World) -> Option<Vec<u8>> {
        match self.outcome.delivery {
            Delivery::Complete => Some(self.answer_text(world)),
            Delivery::Noise => Some(b"\x00\x17 noise \xff\r\n\r\n".to_vec()),
            Delivery::FirstLine => Some(b"HTTP/1.1 200 OK\r\nbroken head \xff\r\n\r\n".to_vec()),
            Delivery::Broken | Delivery::Never => None,
        }
    }

    fn answer_text(&self, world: &World) -> Vec<u8> {
        let fields = self.answer_fields(world);
        match self.outcome.ends.first() {
            Some(AttemptResult::Overloaded) if self.outcome.retry_after.is_some() => {
                answer("429 Too Many Requests", &fields, "")
            }
            Some(AttemptResult::Overloaded) => answer("503 Service Unavailable", &fields, ""),
            Some(AttemptResult::Failed) => answer("500 Internal Server Error", &fields, ""),
            _ if self.is_batch => {
                let states: Vec<_> = self.ids.iter().map(|id| json!({"id": id, "state": "ok"})).collect();
                answer("200 OK", &fields, &json!(states).to_string())
            }
            _ => answer("200 OK", &fields, ""),
        }
    }

    fn answer_fields(&self, world: &World) -> String {
        let destination = world.endpoints.borrow()[self.endpoint].destination as usize;
        let mut destinations = world.destinations.borrow_mut();
        let report = destinations[destination].load_report(self.endpoint as u32, world.now());
        let mut fields =
            format!("X-Pressure: x0={:.3},x1={:.1}\r\n", report.remaining_share, report.limit_per_second);
        if let Some(wait) = self.outcome.retry_after {
            fields.push_str(&format!("Retry-After: {:.3}\r\n", wait as f64 / 1e6));
        }
        fields
    }
}

/// Returns the outcome of a call, as the destination's model decides it.
fn decide(
    world: &World,
    endpoint: &EndpointState,
    sender: u32,
    sent_at: Micros,
    identified: &[IdentifiedMessage],
) -> CallOutcome {
    let messages: Vec<_> =
        identified.iter().map(|message| CallMessage { class: message.class, key: &message.key }).collect();
    world.destinations.borrow_mut()[endpoint.destination as usize].call(&IncomingCall {
        received_at: world.now(),
        sent_at,
        sender,
        endpoint: endpoint.number,
        condition: &endpoint.condition,
        messages: &messages,
    })
}

/// Returns the identity of the endpoint that the sender called: the previous one, if the sender was not yet
/// informed of the present one when it sent the call.
fn identity_for(world: &World, endpoint: &EndpointState, sender: u32, sent: Micros) -> EndpointIdentity {
    match &endpoint.previous {
        Some(previous) if !world.agents[sender as usize].is_informed(&endpoint.id, sent) => previous.clone(),
        _ => EndpointIdentity { id: endpoint.id.clone(), route: endpoint.route },
    }
}
