//! The clients: gantry, billing and account programs that hand messages in as the protocol describes.
use super::{End, Known, World};
use crate::http::Conversation;
use crate::observation::{At, Seen, Told};
use crate::plan::{Arrival, SeededRng, TENANTS};
use crate::stand_in_network::Host;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Mutex, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// A client waits so long for its answer.
const PATIENCE: Duration = Duration::from_millis(400);
/// Times that it hands a message in again after a refusal.
const RETRIES: usize = 2;
/// With less time left than this, it does not.
const LEAST_LEFT: At = 500_000;
/// Share of the messages that are handed in a second time under the same id, whatever became of them.
const AGAIN: f64 = 0.01;
/// Idle connections that the clients beside one sender keep.
const MOST_IDLE: usize = 32;

/// What the clients share: connections that they keep, and whose turn it is on a key.
struct Clients {
    idle: RefCell<BTreeMap<u32, Vec<Conversation>>>,
    turns: RefCell<BTreeMap<u32, Rc<Mutex<()>>>>,
}

/// Hands in all of the plan's messages, each at its time.
pub(super) async fn drive(world: &Rc<World>, begun: At) {
    let clients = Rc::new(Clients { idle: RefCell::default(), turns: RefCell::default() });
    let plan = world.plan.clone();
    for arrival in plan.arrivals() {
        world.until(begun + arrival.at.0).await;
        let (world, clients) = (world.clone(), clients.clone());
        spawn_local(async move { Operation::new(&world, &clients, arrival).run().await });
    }
}

/// One operation, from its first hand-in on.
struct Operation<'a> {
    world: &'a Rc<World>,
    clients: &'a Clients,
    arrival: Arrival,
    dice: SeededRng,
    first: At,
    body: Rc<[u8]>,
}

impl<'a> Operation<'a> {
    fn new(world: &'a Rc<World>, clients: &'a Clients, arrival: Arrival) -> Self {
        let dice = SeededRng::new(world.plan.seed, &format!("operation {}", arrival.number));
        let mut body = format!("{:016x}", arrival.number).into_bytes();
        body.resize(arrival.body, b'.');
        let first = world.now();
        world.recorder().offered(&arrival, first);
        Self { world, clients, arrival, dice, first, body: body.into() }
    }

    async fn run(mut self) {
        let turn = self.arrival.vehicle.map(|vehicle| {
            let mut turns = self.clients.turns.borrow_mut();
            turns.entry(vehicle).or_default().clone()
        });
        let mut mark = None;
        for _ in 0..=RETRIES {
            let (told, end) = {
                // Messages of one key are handed in one after another.
                let _turn = match &turn {
                    Some(turn) => Some(turn.lock().await),
                    None => None,
                };
                let left = (self.first + self.arrival.class.deadline().0).saturating_sub(self.world.now());
                if left < LEAST_LEFT {
                    break;
                }
                self.hand_in(left, mark).await
            };
            match told {
                Told::TakenOn => match end.await {
                    Ok(End::Returned(after)) => {
                        sleep(after.unwrap_or_default().max(self.pause())).await;
                        mark = Some("1");
                    }
                    Ok(End::Lost) => {
                        sleep(Duration::from_secs_f64(self.dice.between(0.36, 1.9))).await;
                        mark = Some("again");
                    }
                    Ok(End::Delivered | End::Failed) | Err(_) => break,
                },
                Told::Refused => {
                    sleep(self.pause()).await;
                    mark = Some("1");
                }
                Told::Nothing | Told::Cut => {
                    sleep(self.pause()).await;
                    mark = Some("again");
                }
                Told::Failed => break,
            }
        }
        if let Some(vehicle) = self.arrival.vehicle {
            drop(turn);
            self.clients.turns.borrow_mut().retain(|v, turn| *v != vehicle || Rc::strong_count(turn) > 1);
        }
    }

    fn pause(&mut self) -> Duration {
        Duration::from_secs_f64(self.dice.between(0.1, 0.6))
    }

    /// Hands it in once, under a new id.
    async fn hand_in(&mut self, left: At, mark: Option<&str>) -> (Told, oneshot::Receiver<End>) {
        let (id, again) = (self.dice.id(), self.dice.chance(AGAIN));
        let (again_after, number) = (self.dice.between(0.05, 12.0), self.dice.number());
        let (ended, end) = oneshot::channel();
        let pick = self.arrival.vehicle.map_or(number, u64::from);
        let Some(sender) = self.world.front(pick) else { return (Told::Refused, end) };
        let arrival = &self.arrival;
        let mut head = format!(
            "POST /api HTTP/1.1\r\nHost: service.internal\r\nX-Txn: {id}\r\nX-Lane: {}\r\nX-Org: {}\r\n\
             X-Remaining: {:.6}\r\nIdempotency-Key: {}\r\nX-Envelope: dest={}\r\nContent-Length: {}\r\n",
            arrival.class.name(),
            TENANTS[arrival.tenant].0,
            left as f64 / 1e6,
            arrival.key,
            arrival.destination,
            self.body.len(),
        );
        if let Some(vehicle) = arrival.vehicle {
            head.push_str(&format!("X-Entity: {vehicle:016x}\r\n"));
        }
        if let Some(mark) = mark {
            head.push_str(&format!("X-Resent: {mark}\r\n"));
        }
        let mut request = head.into_bytes();
        request.extend_from_slice(b"\r\n");
        request.extend_from_slice(&self.body);
        let now = self.world.now();
        let known = Known {
            class: arrival.class,
            key: arrival.key.clone(),
            destination: arrival.destination,
            body: self.body.clone(),
            sender,
            called: false,
            end: Some(ended),
        };
        self.world.messages.borrow_mut().add(now, id.clone(), known);
        let Some(mut with) = self.clients.connection(self.world, sender).await else {
            return (Told::Refused, end);
        };
        let handed = || Seen::HandedIn {
            id: id.clone(),
            operation: arrival.number,
            sender,
            class: arrival.class,
            vehicle: arrival.vehicle,
            deadline: now + left,
        };
        self.world.saw(handed());
        let mut told = self.ask(sender, &mut with, &request).await;
        if told == Told::Cut && with.reused {
            // Closed between two requests: once more on a new connection.
            if let Some(new) = self.clients.new_connection(self.world, sender).await {
                with = new;
                told = self.ask(sender, &mut with, &request).await;
            }
        }
        self.clients.keep(sender, with);
        self.world.saw(Seen::Answered { id: id.clone(), told });
        if again && told == Told::TakenOn {
            let (world, seen) = (self.world.clone(), handed());
            let machine = world.senders[sender as usize].machines();
            spawn_local(async move {
                sleep(Duration::from_secs_f64(again_after)).await;
                if world.senders[sender as usize].machines() == machine {
                    once_more(&world, sender, &request, seen).await;
                }
            });
        }
        (told, end)
    }

    async fn ask(&self, sender: u32, with: &mut Kept, request: &[u8]) -> Told {
        let conversation = &mut with.conversation;
        let asked = async {
            conversation.write(request).await.ok()?;
            conversation.read(true).await.ok().flatten()
        };
        let answer = timeout(PATIENCE, asked).await;
        with.usable = false;
        let answer = match answer {
            Ok(Some(answer)) => answer,
            Ok(None) => return Told::Cut,
            Err(_) => return Told::Nothing,
        };
        with.usable =
            answer.field("connection") != Some("close") && self.world.senders[sender as usize].is_up();
        match answer.status {
            200 | 202 => Told::TakenOn,
            429 | 503 => Told::Refused,
            _ => Told::Failed,
        }
    }
}

/// The same message under the same id: a client whose program restarted, say. It owes nothing new.
async fn once_more(world: &Rc<World>, sender: u32, request: &[u8], seen: Seen) {
    let Seen::HandedIn { deadline, .. } = seen else { return };
    let Some(address) = world.senders[sender as usize].address() else { return };
    if world.now() + LEAST_LEFT > deadline {
        return;
    }
    let Ok(Ok(line)) = timeout(PATIENCE, world.wire.connect(Host::Sender(sender), address)).await else {
        return;
    };
    let mut with = Conversation::new(line);
    world.saw(seen);
    if with.write(request).await.is_ok() {
        let _ = timeout(PATIENCE, with.read(true)).await;
    }
}

/// A connection to a sender.
struct Kept {
    conversation: Conversation,
    reused: bool,
    usable: bool,
}

impl Clients {
    async fn connection(&self, world: &World, sender: u32) -> Option<Kept> {
        loop {
            let kept = self.idle.borrow_mut().get_mut(&sender).and_then(Vec::pop);
            let Some(mut conversation) = kept else { return self.new_connection(world, sender).await };
            if !conversation.is_over().await {
                return Some(Kept { conversation, reused: true, usable: false });
            }
        }
    }

    async fn new_connection(&self, world: &World, sender: u32) -> Option<Kept> {
        let address = world.senders[sender as usize].address()?;
        let line = timeout(PATIENCE, world.wire.connect(Host::Sender(sender), address)).await;
        let conversation = Conversation::new(line.ok()?.ok()?);
        Some(Kept { conversation, reused: false, usable: false })
    }

    fn keep(&self, sender: u32, with: Kept) {
        let mut idle = self.idle.borrow_mut();
        let of_sender = idle.entry(sender).or_default();
        if with.usable && of_sender.len() < MOST_IDLE {
            of_sender.push(with.conversation);
        }
    }
}
