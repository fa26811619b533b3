//! The partners' endpoints on the network: they take calls and write what the model decides.
use super::model::{Collapse, Delivery, Fate, Payload};
use super::{End, World};
use crate::http::{Conversation, Message, answer};
use crate::observation::{At, MessageEnd, Seen};
use crate::plan::Class;
use crate::stand_in_network::StandInListener;
use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use serde::Deserialize;
use serde_json::json;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// An endpoint closes a connection that stood idle for so long, in microseconds.
pub const IDLE: u64 = 5_000_000;
/// What was connected to a machine that was away shows within this.
const STALE: Duration = Duration::from_millis(20);
/// Ports of an endpoint: one for each sender, others once it has moved.
const FIRST_PORT: u16 = 5000;

#[derive(Deserialize)]
struct BatchItem {
    id: String,
    key: Option<String>,
    body: String,
}

/// Opens the doors of an endpoint, one for each sender, and keeps them as its condition has it.
pub(super) async fn open(world: &Rc<World>, endpoint: usize) -> io::Result<()> {
    let place = world.endpoints.borrow()[endpoint].place;
    let mut addresses = Vec::new();
    for sender in 0..world.plan.senders.len() as u32 {
        let port = FIRST_PORT + place * 1000 + sender as u16;
        let door = world.wire.listen(World::host_of(endpoint), port).await?;
        addresses.push(door.address());
        spawn_local(keep(world.clone(), endpoint, sender, place, door));
    }
    world.endpoints.borrow_mut()[endpoint].addresses = addresses;
    Ok(())
}

/// Whether its machine says nothing and no network can be cut to make it so: then it keeps still by itself.
fn is_mute(world: &World, at: &super::EndpointState) -> bool {
    at.condition.vanished && world.fleet.links().is_none()
}

/// Takes connections at one door, until the endpoint has moved away from it.
async fn keep(
    world: Rc<World>,
    endpoint: usize,
    sender: u32,
    place: u16,
    mut door: Box<dyn StandInListener>,
) {
    loop {
        if is_mute(&world, &world.endpoints.borrow()[endpoint]) {
            changes(&world, endpoint, |e| !is_mute(&world, e)).await;
            // Connections that the system took meanwhile never came up on a machine that was away.
            while timeout(STALE, door.accept()).await.is_ok() {}
        }
        let accepted = tokio::select! {
            biased;
            () = changes(&world, endpoint, |e| is_mute(&world, e)) => continue,
            () = changes(&world, endpoint, |e| e.condition.dead || e.place != place) => None,
            accepted = door.accept() => Some(accepted),
        };
        match accepted {
            Some(Ok(line)) => {
                let world = world.clone();
                spawn_local(
                    async move { serve(&world, endpoint, sender, place, Conversation::new(line)).await },
                );
            }
            Some(Err(_)) => tokio::time::sleep(Duration::from_millis(10)).await,
            None if world.endpoints.borrow()[endpoint].place != place => return,
            None => {
                // No process, no door: connections are refused until there is one again.
                let port = door.address().port();
                drop(door);
                changes(&world, endpoint, |e| !e.condition.dead).await;
                door = loop {
                    match world.wire.listen(World::host_of(endpoint), port).await {
                        Ok(door) => break door,
                        Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
                    }
                };
            }
        }
    }
}

/// Waits until an endpoint is as `wanted` says.
async fn changes(world: &World, endpoint: usize, wanted: impl Fn(&super::EndpointState) -> bool) {
    loop {
        let changed = world.changed.notified();
        if wanted(&world.endpoints.borrow()[endpoint]) {
            return;
        }
        changed.await;
    }
}

/// The calls on one connection, one after another.
async fn serve(world: &Rc<World>, endpoint: usize, sender: u32, place: u16, mut with: Conversation) {
    loop {
        let next = tokio::select! {
            biased;
            () = changes(world, endpoint, |e| e.condition.dead || e.place > place + 1) => return,
            () = changes(world, endpoint, |e| is_mute(world, e)) => {
                // What it had is gone when it is back.
                changes(world, endpoint, |e| !is_mute(world, e)).await;
                return;
            }
            next = timeout(Duration::from_micros(IDLE), with.read(false)) => next,
        };
        let Ok(Ok(Some(message))) = next else { return };
        let Some(call) = Call::read(world, endpoint, sender, &message) else {
            let _ = with.write(&answer("400 Bad Request", "", "")).await;
            return;
        };
        let Some(kept) = call.serve(world, with).await else { return };
        with = kept;
    }
}

/// One call that has come whole.
struct Call {
    number: u64,
    endpoint: usize,
    ids: Vec<String>,
    batch: bool,
    fate: Fate,
}

impl Call {
    /// Takes it in; none if it cannot be read.
    fn read(world: &World, endpoint: usize, sender: u32, message: &Message) -> Option<Self> {
        let batch = message.path == "/hook/batch";
        let items: Vec<(String, Option<String>, Vec<u8>)> = if batch {
            let items: Vec<BatchItem> = serde_json::from_slice(&message.body).ok()?;
            let read = |item: BatchItem| Some((item.id, item.key, BASE64.decode(item.body).ok()?));
            items.into_iter().map(read).collect::<Option<_>>()?
        } else {
            let id = message.field("x-txn")?.to_owned();
            vec![(id, message.field("idempotency-key").map(str::to_owned), message.body.clone())]
        };
        let now = world.now();
        let number = world.next_call.get();
        world.next_call.set(number + 1);
        let mut parcels = Vec::new();
        let mut ids = Vec::new();
        let mut messages = world.messages.borrow_mut();
        let at = &world.endpoints.borrow()[endpoint];
        for (id, key, body) in items {
            match messages.get(&id) {
                Some(known)
                    if known.destination == at.partner
                        && key.as_ref() == Some(&known.key)
                        && *known.body == *body =>
                {
                    known.called = true;
                    parcels.push((known.class, known.key.clone()));
                    ids.push(id);
                }
                // What nobody handed in like this is unknown to the judge as well.
                _ => {
                    parcels.push((Class::Charge, String::new()));
                    ids.push(format!("{id} (not as it was handed in)"));
                }
            }
        }
        let parcels: Vec<Payload<'_>> =
            parcels.iter().map(|(class, key)| Payload { class: *class, key }).collect();
        let mut partners = world.partners.borrow_mut();
        let sent = world.at(message.first_sent);
        let fate = partners[at.partner as usize].call(now, sent, sender, at.number, &at.condition, &parcels);
        let (endpoint_id, line) = match &at.before {
            Some(before) if !world.agents[sender as usize].knew(&at.id, sent) => before.clone(),
            _ => (at.id.clone(), at.line),
        };
        let to = endpoint_id.clone();
        world.saw(Seen::Began { call: number, sender, endpoint: endpoint_id, line, ids: ids.clone(), sent });
        if let Some(Collapse { senders, budget }) = fate.fell.clone() {
            world.saw(Seen::Fell { line, senders, budget, endpoint: to });
        }
        Some(Self { number, endpoint, ids, batch, fate })
    }

    /// Answers it as the model decided; the connection, if it can carry another call.
    async fn serve(self, world: &Rc<World>, mut with: Conversation) -> Option<Conversation> {
        enum Next {
            Due,
            Closed(At),
            Dead,
        }
        let next = tokio::select! {
            biased;
            () = changes(world, self.endpoint, |e| e.condition.dead) => Next::Dead,
            () = world.until(self.fate.at) => Next::Due,
            ended = with.ended() => Next::Closed(world.at(ended)),
        };
        match next {
            Next::Due => {}
            Next::Closed(sent) => {
                world.saw(Seen::Closed { call: self.number, sent });
                // What was taken runs on.
                let world = world.clone();
                spawn_local(async move {
                    world.until(self.fate.at).await;
                    self.take_effect(&world);
                });
                return None;
            }
            Next::Dead => {
                let ends = self.ids.iter().map(|id| (id.clone(), MessageEnd::Spoilt)).collect();
                let now = world.now();
                let heard = now + with.delay().as_micros() as At;
                // The sender may have ended it before, with that still on its way.
                let out_until = with.ended_at().map_or(now, |ended| world.at(ended).min(now));
                world.saw(Seen::Replied { call: self.number, ends, wait: None, heard, out_until });
                return None;
            }
        }
        self.take_effect(world);
        let mute = is_mute(world, &world.endpoints.borrow()[self.endpoint]);
        if mute || self.fate.delivery == Delivery::Never {
            let sent = with.ended().await;
            world.saw(Seen::Closed { call: self.number, sent: world.at(sent) });
            return None;
        }
        let now = world.now();
        let heard = now + with.delay().as_micros() as At;
        let ends: Vec<_> = self.ids.iter().cloned().zip(self.fate.ends.iter().copied()).collect();
        // A wait that is told into a cut is told to nobody.
        let wait = self.fate.wait.filter(|_| with.arrives()).map(|wait| now + wait);
        let out_until = with.ended_at().map_or(now, |ended| world.at(ended).min(now));
        world.saw(Seen::Replied { call: self.number, ends: ends.clone(), wait, heard, out_until });
        for (id, end) in ends {
            if end == MessageEnd::Ok {
                world.messages.borrow_mut().ended(&id, End::Delivered);
            }
        }
        let written = match self.fate.delivery {
            Delivery::Whole => with.write(&self.text(world, now)).await,
            Delivery::Noise => with.write(b"\x00\x17 noise \xff\r\n\r\n").await,
            Delivery::FirstLine => with.write(b"HTTP/1.1 200 OK\r\nbroken head \xff\r\n\r\n").await,
            Delivery::Broken | Delivery::Never => return None,
        };
        written.ok()?;
        if wait.is_some() {
            // Nothing else comes on this connection before the answer is there.
            world.until(heard).await;
            if with.ended_at().is_some_and(|ended| world.at(ended) < heard) {
                world.saw(Seen::Unheard { call: self.number });
            }
        }
        if self.fate.delivery == Delivery::Whole {
            return Some(with);
        }
        // Of no further use, and open until the sender ends it.
        with.ended().await;
        None
    }

    fn take_effect(&self, world: &World) {
        for (id, effect) in self.ids.iter().zip(&self.fate.effects) {
            if *effect {
                world.saw(Seen::Ran { id: id.clone() });
            }
        }
    }

    fn text(&self, world: &World, now: At) -> Vec<u8> {
        let partner = world.endpoints.borrow()[self.endpoint].partner as usize;
        let (left, rate) = world.partners.borrow_mut()[partner].report(self.endpoint as u32, now);
        let mut fields = format!("X-Pressure: x0={left:.3},x1={rate:.1}\r\n");
        if let Some(wait) = self.fate.wait {
            fields.push_str(&format!("Retry-After: {:.3}\r\n", wait as f64 / 1e6));
        }
        match self.fate.ends.first() {
            Some(MessageEnd::Full) => {
                let status = if self.fate.wait.is_some() {
                    "429 Too Many Requests"
                } else {
                    "503 Service Unavailable"
                };
                answer(status, &fields, "")
            }
            Some(MessageEnd::Error) => answer("500 Internal Server Error", &fields, ""),
            _ if self.batch => {
                let ends: Vec<_> = self.ids.iter().map(|id| json!({"id": id, "state": "ok"})).collect();
                answer("200 OK", &fields, &json!(ends).to_string())
            }
            _ => answer("200 OK", &fields, ""),
        }
    }
}
